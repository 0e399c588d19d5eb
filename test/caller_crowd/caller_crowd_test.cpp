// Tests with real processes that callers which keep to no limit neither end a process nor exhaust
// the memory and the descriptors of its host, and that ordinary calls are answered beside them.

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "caller_crowd/crowd.h"
#include "caller_crowd/process_usage.h"
#include "platform_process/mesh_scenario.h"

namespace jackdawweir::caller_crowd_test {

using namespace platform_process_test;

namespace {

// The bounds that the settings below set for each process.
constexpr std::uint64_t memoryBound = std::uint64_t{96} << 20U;
constexpr std::size_t callerConnections = 64;
constexpr std::size_t controlConnections = 32;
// The descriptors of a process besides its callers': links, files and the event loop.
constexpr std::size_t otherDescriptors = 64;
constexpr std::size_t descriptorBound = callerConnections + controlConnections + otherDescriptors;

constexpr const char *smallHost = "memory-mib: 96\ncaller-connections: 64\n"
                                  "control-connections: 32\n";

constexpr std::uint16_t callerPort = 17504;
constexpr std::uint16_t controlPort = 17506;

// Fewer than the connections that are allowed, so that ordinary callers find one.
constexpr std::size_t crowdSize = 48;
constexpr std::size_t controlCrowdSize = 24;

constexpr std::size_t largeChunk = std::size_t{256} * 1024;
constexpr std::size_t smallChunk = 8;

std::string head(const std::string &method, const std::string &target, const std::string &headers)
{
    return method + " " + target
        + " HTTP/1.1\r\nHost: shop.example\r\nX-Jackdawweir-Attempt-Id: 77\r\n" + headers + "\r\n";
}

std::string chunkedHead(const std::string &target)
{
    return head("POST", target, "Transfer-Encoding: chunked\r\n");
}

// Chunks of a size that have a number of bytes together.
std::string chunks(std::size_t chunkBytes, std::size_t bytes)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = chunkBytes; rest > 0; rest /= 16) {
        size.insert(size.begin(), digits[rest % 16]);
    }
    const std::string chunk = size + "\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    std::string all;
    for (std::size_t sent = 0; sent < bytes; sent += chunkBytes) {
        all += chunk;
    }
    return all;
}

// A configuration of a few hundred kilobytes.
std::string largeConfiguration(std::uint64_t version)
{
    constexpr int moreRoutes = 3000;
    const std::string plain = configuration(version, "stock");
    const std::size_t first = plain.find('[') + 1;
    std::string routes;
    for (int index = 0; index < moreRoutes; ++index) {
        const std::string name = "more-" + std::to_string(index);
        routes += R"({"resourceKind":"routes","metadata":{"name":")";
        routes += name;
        routes += R"("},"spec":{"host":"shop.example","pathPrefix":"/)";
        routes += name;
        routes += R"(/","type":"safe","timeoutS":2,"targetLatencyS":0.3,"priority":1,)"
                  R"("service":"stock","maxAttempts":2}},)";
    }
    return plain.substr(0, first) + routes + plain.substr(first);
}

} // namespace

class caller_crowd_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_crowd_test);
    CPPUNIT_TEST(survivesAnnouncedBodiesOverTheLimit);
    CPPUNIT_TEST(survivesChunkedBodiesOverTheLimit);
    CPPUNIT_TEST(survivesBodiesOfLargeChunksThatStopShort);
    CPPUNIT_TEST(survivesBodiesOfSmallChunksThatStopShort);
    CPPUNIT_TEST(survivesWholeBodiesAtOnce);
    CPPUNIT_TEST(survivesSlowReadersOfLargeResponses);
    CPPUNIT_TEST(survivesMoreConnectionsThanItAllows);
    CPPUNIT_TEST(survivesUnfinishedCallsOfBackendServers);
    CPPUNIT_TEST(survivesUnfinishedCallsOfOperators);
    CPPUNIT_TEST(survivesSlowReadersOfTheConfiguration);
    CPPUNIT_TEST(servesASingleRequestOfTheLargestSize);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bodies that are kept although their length is refused.
    void survivesAnnouncedBodiesOverTheLimit()
    {
        running_mesh mesh(201);
        mesh.survive(mesh.fleet.nodeIp(1),
                     callerPort,
                     crowdSize,
                     {head("POST", "/order/1", "Content-Length: 67108864\r\n"),
                      std::string(largeChunk, 'x'),
                      64});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against bodies without a length that are each kept up to the limit for one.
    void survivesChunkedBodiesOverTheLimit()
    {
        running_mesh mesh(202);
        mesh.survive(mesh.fleet.nodeIp(1),
                     callerPort,
                     crowdSize,
                     {chunkedHead("/order/1"), chunks(largeChunk, largeChunk), 64});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against bodies within the limit that are never complete and are all kept.
    void survivesBodiesOfLargeChunksThatStopShort()
    {
        running_mesh mesh(203);
        mesh.survive(mesh.fleet.nodeIp(1),
                     callerPort,
                     crowdSize,
                     {chunkedHead("/order/1"), chunks(largeChunk, largeChunk), 24});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against framing bytes that are kept with the body.
    void survivesBodiesOfSmallChunksThatStopShort()
    {
        running_mesh mesh(204);
        mesh.survive(mesh.fleet.nodeIp(1),
                     callerPort,
                     crowdSize,
                     {chunkedHead("/order/1"), chunks(smallChunk, largeChunk), 12});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against complete requests that are copied to queues and links without a common bound.
    void survivesWholeBodiesAtOnce()
    {
        running_mesh mesh(205);
        mesh.survive(mesh.fleet.nodeIp(1),
                     callerPort,
                     crowdSize,
                     {head("POST", "/order/1", "Content-Length: 6291456\r\n"),
                      std::string(largeChunk, 'x'),
                      24});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against responses that are kept for as long as their callers do not read them.
    void survivesSlowReadersOfLargeResponses()
    {
        constexpr std::size_t pipelined = 16;
        running_mesh mesh(206);
        // With long timeouts, the server runs the requests of the whole crowd.
        mesh.replaceConfiguration(configuration(4, "stock", "20", "15"));
        mesh.survive(mesh.fleet.nodeIp(1),
                     callerPort,
                     crowdSize,
                     {"", head("GET", "/stock/large", ""), pipelined});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against connections without a request that keep ordinary callers out.
    void survivesMoreConnectionsThanItAllows()
    {
        running_mesh mesh(207);
        mesh.survive(mesh.fleet.nodeIp(1), callerPort, 3 * callerConnections, {"POST ", "", 0});
        mesh.assertRequestsAreAnswered();
    }

    // Guards against limits that hold only at the address of callers.
    void survivesUnfinishedCallsOfBackendServers()
    {
        running_mesh mesh(208);
        mesh.survive(
            mesh.fleet.nodeIp(1),
            controlPort,
            controlCrowdSize,
            {chunkedHead("/Instances.Heartbeat/i-desk"), chunks(largeChunk, largeChunk), 28});
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return mesh.fleet.announce(1, "i-desk", "desk", mesh.desk.address().value, 2).status
                == 200;
        }));
        mesh.assertRequestsAreAnswered();
    }

    // Guards against a source that ends through calls of others than its operators.
    void survivesUnfinishedCallsOfOperators()
    {
        running_mesh mesh(209);
        mesh.survive(mesh.fleet.sourceIp(1),
                     controlPort,
                     controlCrowdSize,
                     {chunkedHead("/Config.Replace"), chunks(largeChunk, largeChunk), 28});
        awaitRead(mesh.fleet, 1, 3, "stock");
    }

    // Guards against a source that keeps the responses that its callers do not read.
    void survivesSlowReadersOfTheConfiguration()
    {
        constexpr std::size_t pipelined = 16;
        running_mesh mesh(210);
        const std::string large = largeConfiguration(4);
        mesh.replaceConfiguration(large);
        mesh.survive(mesh.fleet.sourceIp(1),
                     controlPort,
                     controlCrowdSize,
                     {"", head("GET", "/Config.Read", ""), pipelined});
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return mesh.fleet.callSource(1, "GET", "/Config.Read", "").body == large;
        }));
    }

    // Guards against a bound below what a single caller may send.
    void servesASingleRequestOfTheLargestSize()
    {
        constexpr std::size_t largestBody = std::size_t{8} << 20U;
        running_mesh mesh(211);
        const call_response answer
            = mesh.fleet.request(1, "POST", "/order/1", std::string(largestBody, 'x'));
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        mesh.assertBounds();
    }

private:
    // A mesh that serves, whose processes have small hosts.
    struct running_mesh {
        static std::vector<test::scripted_reply> replies()
        {
            constexpr std::size_t largeBody = std::size_t{540} * 1000;
            return {{reply(std::string(largeBody, 'x')), test::after_reply::KeepOpen}};
        }

        explicit running_mesh(int number)
            : desk({{reply("from the desk"), test::after_reply::KeepOpen}})
            , stock(replies())
            , fleet(number)
        {
            fleet.setMoreSettings(smallHost);
            serve(fleet, desk, stock);
            assertRequestsAreAnswered();
        }

        // Replaces the configuration of version 3, and waits until the nodes have it.
        void replaceConfiguration(const std::string &next) const
        {
            CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
                return fleet
                           .callSource(1,
                                       "POST",
                                       "/Config.Replace",
                                       next,
                                       "X-Jackdawweir-Base-Version: r3\r\n")
                           .status
                    == 200;
            }));
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }

        std::vector<std::string> processes() const
        {
            return {fleet.sourceIp(1),
                    fleet.sourceIp(2),
                    fleet.sourceIp(3),
                    fleet.nodeIp(1),
                    fleet.nodeIp(2)};
        }

        void sample()
        {
            for (const std::string &ip : processes()) {
                peaks[ip].sample(fleet.processAt(ip).id());
            }
        }

        // Samples until the crowd has sent everything and no process needs more memory than before.
        void settle(const crowd &callers)
        {
            constexpr std::chrono::seconds unchangedFor{2};
            constexpr std::chrono::seconds settleTimeout{60};
            std::uint64_t last = 0;
            auto changedAt = std::chrono::steady_clock::now();
            waitUntil(settleTimeout, [&] {
                sample();
                std::uint64_t sum = 0;
                for (const auto &[ip, peak] : peaks) {
                    sum += peak.memoryBytes + peak.descriptors;
                }
                const auto now = std::chrono::steady_clock::now();
                if (std::exchange(last, sum) != sum || !callers.hasSent()) {
                    changedAt = now;
                }
                return now >= changedAt + unchangedFor;
            });
        }

        // Runs the crowd, and checks all bounds while it is still connected.
        void survive(const std::string &ip,
                     std::uint16_t port,
                     std::size_t connections,
                     caller_script script)
        {
            members = std::make_unique<crowd>(ip, port, connections, std::move(script));
            settle(*members);
            assertBounds();
        }

        void assertBounds()
        {
            sample();
            for (const std::string &ip : processes()) {
                const usage_peak &peak = peaks.at(ip);
                const std::string used = ip + ": " + std::to_string(peak.memoryBytes >> 20U)
                    + " MiB, " + std::to_string(peak.descriptors) + " descriptors";
                std::cout << "  " << used << '\n';
                CPPUNIT_ASSERT_MESSAGE(used,
                                       !fleet.processAt(ip).waitForExit(std::chrono::seconds(0)));
            }
            for (const auto &[ip, peak] : peaks) {
                CPPUNIT_ASSERT_MESSAGE(ip, peak.memoryBytes <= memoryBound);
                CPPUNIT_ASSERT_MESSAGE(ip, peak.descriptors <= descriptorBound);
            }
        }

        void assertRequestsAreAnswered()
        {
            CPPUNIT_ASSERT(waitUntil(
                waitTimeout, [&] { return fleet.request(1, "GET", "/stock/1").status == 200; }));
        }

        scripted_server desk;
        scripted_server stock;
        mesh_fleet fleet;
        std::map<std::string, usage_peak> peaks;
        std::unique_ptr<crowd> members;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_crowd_test);

} // namespace jackdawweir::caller_crowd_test
