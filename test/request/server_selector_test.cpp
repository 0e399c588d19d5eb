#include "jackdawweir/request/server_selector.h"

#include <map>
#include <thread>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::request {

namespace {

using membership::backend_server;
using membership::server_state;

const core::service_name quotes{"quotes"};
constexpr core::monotonic_time start{std::chrono::hours(1)};
const attempt_outcome serverFault{request_outcome::Unknown,
                                  attempt_fault::TimedOut,
                                  failure_origin::Server,
                                  false,
                                  false};

backend_server serverOf(int number, const char *version, const char *dataCentre)
{
    backend_server made;
    made.address = core::endpoint{absl::StrCat("127.0.0.", number, ":80")};
    made.service = quotes;
    made.version.value = version;
    made.dataCentre.value = dataCentre;
    made.incarnation = 1;
    made.slots = 10;
    made.connections = 130;
    made.state = server_state::Ready;
    return made;
}

// Two versions, the new one with a running move at `newShare` basis points.
document::configuration quotesWithMove(std::uint32_t newShare)
{
    document::configuration held;
    held.services.push_back(document::service{
        quotes, {{core::version_name{"v1"}, 100}, {core::version_name{"v2"}, 0}}});
    document::move_state move;
    move.request.service = quotes;
    move.request.from.value = "v1";
    move.request.to.value = "v2";
    move.newShareBasisPoints = newShare;
    held.moves.push_back(move);
    return held;
}

struct fixture {
    document::configuration held = quotesWithMove(0);
    std::vector<backend_server> servers;
    std::set<excluded_version> excluded;
    selector_settings settings;
    core::random_engine engine{20261204};

    fixture()
    {
        settings.ownDataCentre.value = "dc1";
    }

    server_selector build(const server_selector *previous = nullptr,
                          core::monotonic_time now = start) const
    {
        return server_selector(settings, selector_input{held, servers, excluded}, previous, now);
    }

    // Selections that are given back at once, by version or by address.
    std::map<std::string, int> count(const server_selector &selector, bool byVersion, int times)
    {
        std::map<std::string, int> counts;
        for (int time = 0; time < times; ++time) {
            const auto claim = selector.select(quotes, start, engine);
            const backend_server &server = core::valueIn(claim).server();
            ++counts[byVersion ? server.version.value : server.address.value];
        }
        return counts;
    }
};

} // namespace

class server_selector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_selector_test);
    CPPUNIT_TEST(splitsByShareOfMove);
    CPPUNIT_TEST(sendsNothingToExcludedVersion);
    CPPUNIT_TEST(newVersionNeverTakesOverflowOfOld);
    CPPUNIT_TEST(spreadsWhereEveryVersionIsExcluded);
    CPPUNIT_TEST(prefersOwnDataCentreThenSpareCapacity);
    CPPUNIT_TEST(neverExceedsSlotsOrConnections);
    CPPUNIT_TEST(neverExceedsSlotsFromFourThreads);
    CPPUNIT_TEST(ejectsAtMostHalf);
    CPPUNIT_TEST(slowStartBoundsNewServer);
    CPPUNIT_TEST(skipsServersThatAreNotReady);
    CPPUNIT_TEST_SUITE_END();

public:
    void splitsByShareOfMove()
    {
        fixture world;
        world.held = quotesWithMove(500);
        world.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        const server_selector selector = world.build();
        const int toNew = world.count(selector, true, 20'000)["v2"];
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("expected about 1000, got ", toNew),
                               toNew > 850 && toNew < 1150);
    }

    // Guards against traffic to a version whose faults are visible (P4).
    void sendsNothingToExcludedVersion()
    {
        fixture world;
        world.held = quotesWithMove(5000);
        world.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        world.excluded.insert({quotes, core::version_name{"v2"}});
        CPPUNIT_ASSERT_EQUAL(0, world.count(world.build(), true, 2000)["v2"]);
        // After the move is done the old version takes over while it has servers.
        world.held.moves[0].phase = document::move_phase::Done;
        world.held.moves[0].newShareBasisPoints = 10'000;
        CPPUNIT_ASSERT_EQUAL(2000, world.count(world.build(), true, 2000)["v1"]);
    }

    // Guards against a new version that gets more than its share because the old one is full or
    // excluded (P4).
    void newVersionNeverTakesOverflowOfOld()
    {
        fixture world;
        world.held = quotesWithMove(100);
        world.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        world.servers[0].slots = 1;
        const server_selector selector = world.build();
        std::vector<server_claim> kept;
        int toNew = 0;
        for (int time = 0; time < 200; ++time) {
            auto claim = selector.select(quotes, start, world.engine);
            if (core::isOk(claim)) {
                toNew += core::valueIn(claim).server().version.value == "v2" ? 1 : 0;
                kept.push_back(core::valueIn(std::move(claim)));
            }
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("to new ", toNew), toNew <= 8);
        world.excluded.insert({quotes, core::version_name{"v1"}});
        world.servers[0].slots = 10;
        const int excludedOld = world.count(world.build(), true, 2000)["v2"];
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("to new ", excludedOld), excludedOld < 60);
    }

    // Guards against circuit breakers that together turn every request away.
    void spreadsWhereEveryVersionIsExcluded()
    {
        fixture world;
        world.held = quotesWithMove(500);
        world.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        world.excluded.insert({quotes, core::version_name{"v1"}});
        world.excluded.insert({quotes, core::version_name{"v2"}});
        // The new version of the running move stays without traffic.
        CPPUNIT_ASSERT_EQUAL(2000, world.count(world.build(), true, 2000)["v1"]);
    }

    void prefersOwnDataCentreThenSpareCapacity()
    {
        fixture world;
        world.servers
            = {serverOf(1, "v1", "dc1"), serverOf(2, "v1", "dc2"), serverOf(3, "v1", "dc3")};
        const server_selector selector = world.build();
        CPPUNIT_ASSERT_EQUAL(100, world.count(selector, false, 100)["127.0.0.1:80"]);
        // The own server is full, the second has a tenth of the third's spare capacity.
        selector.healthOf(world.servers[0].address)->recordLoad(10, start);
        selector.healthOf(world.servers[1].address)->recordLoad(9, start);
        std::map<std::string, int> spilled = world.count(selector, false, 1100);
        CPPUNIT_ASSERT_EQUAL(0, spilled["127.0.0.1:80"]);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("to second ", spilled["127.0.0.2:80"]),
                               spilled["127.0.0.2:80"] > 50 && spilled["127.0.0.2:80"] < 180);
    }

    // Guards against a server that gets more requests than it has slots or connections for.
    void neverExceedsSlotsOrConnections()
    {
        test::checkProperty("limits hold", [](std::uint64_t seed) {
            fixture world;
            world.engine.seed(seed);
            world.settings.nodeCount = *rc::gen::inRange(1, 40);
            for (int number = 1; number <= *rc::gen::inRange(1, 6); ++number) {
                world.servers.push_back(serverOf(number, "v1", number % 2 == 0 ? "dc1" : "dc2"));
                world.servers.back().slots = *rc::gen::inRange(1, 13);
            }
            const server_selector selector = world.build();
            std::vector<server_claim> held;
            for (int step = 0; step < 200; ++step) {
                if (!held.empty() && world.engine() % 3 == 0) {
                    held.back().finish(attempt_outcome{}, std::chrono::milliseconds(5), start);
                    held.pop_back();
                }
                auto claim = selector.select(quotes, start, world.engine);
                if (core::isOk(claim)) {
                    held.push_back(core::valueIn(std::move(claim)));
                }
                std::map<std::string, std::uint32_t> used;
                for (const server_claim &each : held) {
                    ++used[each.server().address.value];
                }
                for (const backend_server &each : world.servers) {
                    const std::uint32_t connections
                        = std::max(each.connections / world.settings.nodeCount, 1U);
                    RC_ASSERT(used[each.address.value] <= std::min(each.slots, connections));
                }
            }
        });
    }

    // Guards against a lost update of the count of requests in flight.
    void neverExceedsSlotsFromFourThreads()
    {
        fixture world;
        world.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v1", "dc1")};
        const server_selector selector = world.build();
        std::atomic<std::uint32_t> most{0};
        const auto work = [&selector, &most, &world](std::uint64_t seed) {
            core::random_engine engine(seed);
            std::vector<server_claim> held;
            for (int step = 0; step < 5000; ++step) {
                auto claim = selector.select(quotes, start, engine);
                if (core::isOk(claim)) {
                    held.push_back(core::valueIn(std::move(claim)));
                }
                for (const backend_server &each : world.servers) {
                    const std::uint32_t now = selector.healthOf(each.address)->inFlight();
                    std::uint32_t seen = most.load();
                    while (now > seen && !most.compare_exchange_weak(seen, now)) {
                    }
                }
                if (engine() % 8 == 0) {
                    held.clear();
                }
            }
        };
        std::vector<std::thread> threads;
        for (std::uint64_t seed = 0; seed < 4; ++seed) {
            threads.emplace_back(work, seed);
        }
        for (std::thread &each : threads) {
            each.join();
        }
        CPPUNIT_ASSERT(most.load() <= 10);
        for (const backend_server &each : world.servers) {
            CPPUNIT_ASSERT_EQUAL(0U, selector.healthOf(each.address)->inFlight());
        }
    }

    // Guards against ejections that leave too few servers, and against none where all look bad.
    void ejectsAtMostHalf()
    {
        for (int bad = 1; bad <= 4; ++bad) {
            fixture world;
            for (int number = 1; number <= 4; ++number) {
                world.servers.push_back(serverOf(number, "v1", "dc1"));
            }
            const server_selector selector = world.build();
            for (int number = 0; number < bad; ++number) {
                for (int fault = 0; fault < 5; ++fault) {
                    selector.healthOf(world.servers[number].address)
                        ->record(serverFault, std::chrono::milliseconds(5), start);
                }
            }
            const std::map<std::string, int> counts = world.count(selector, false, 1000);
            const std::size_t expected = bad == 1 ? 3 : 2;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(bad, " of 4 bad"), expected, counts.size());
        }
        fixture single;
        single.servers = {serverOf(1, "v1", "dc1")};
        const server_selector selector = single.build();
        for (int fault = 0; fault < 5; ++fault) {
            selector.healthOf(single.servers[0].address)
                ->record(serverFault, std::chrono::milliseconds(5), start);
        }
        CPPUNIT_ASSERT_EQUAL(10, single.count(selector, false, 10)["127.0.0.1:80"]);
    }

    // Guards against a cold server that is given its whole share at once.
    void slowStartBoundsNewServer()
    {
        fixture world;
        world.servers = {serverOf(1, "v1", "dc1")};
        const server_selector before = world.build();
        world.servers[0].incarnation = 2;
        const server_selector after = world.build(&before);
        const auto slotsAt = [&after, &world](core::monotonic_time now) {
            std::vector<server_claim> held;
            while (true) {
                auto claim = after.select(quotes, now, world.engine);
                if (!core::isOk(claim)) {
                    return held.size();
                }
                held.push_back(core::valueIn(std::move(claim)));
            }
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slotsAt(start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, slotsAt(start + std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, slotsAt(start + std::chrono::seconds(10)));
        // A table that is rebuilt keeps the counters.
        const server_selector rebuilt = world.build(&after, start + std::chrono::seconds(10));
        CPPUNIT_ASSERT(rebuilt.healthOf(world.servers[0].address)
                       == after.healthOf(world.servers[0].address));
    }

    // Guards against work for a server that is leaving (P8).
    void skipsServersThatAreNotReady()
    {
        fixture world;
        world.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v1", "dc1")};
        world.servers[0].state = server_state::Draining;
        world.servers[1].state = server_state::Starting;
        const auto claim = world.build().select(quotes, start, world.engine);
        CPPUNIT_ASSERT(core::errorIn(claim)->code == core::error_code::NotFound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_selector_test);

} // namespace jackdawweir::request
