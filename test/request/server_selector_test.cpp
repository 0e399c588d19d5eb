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
    backend_server result;
    result.address = core::endpoint{absl::StrCat("127.0.0.", number, ":80")};
    result.service = quotes;
    result.version.value = version;
    result.dataCentre.value = dataCentre;
    result.incarnation = 1;
    result.slots = 10;
    result.connections = 130;
    result.state = server_state::Ready;
    return result;
}

// Returns a service with two versions and a running move that gives the new one `newShare` basis
// points.
document::configuration quotesWithMove(std::uint32_t newShare)
{
    document::configuration activeConfiguration;
    activeConfiguration.services.push_back(document::service{
        quotes, {{core::version_name{"v1"}, 100}, {core::version_name{"v2"}, 0}}});
    document::move_state move;
    move.request.service = quotes;
    move.request.from.value = "v1";
    move.request.to.value = "v2";
    move.newShareBasisPoints = newShare;
    activeConfiguration.moves.push_back(move);
    return activeConfiguration;
}

struct selector_fixture {
    document::configuration activeConfiguration = quotesWithMove(0);
    std::vector<backend_server> servers;
    std::set<excluded_version> excluded;
    selector_settings settings;
    core::random_engine engine{20261204};

    selector_fixture()
    {
        settings.ownDataCentre.value = "dc1";
    }

    server_selector build(const server_selector *previous = nullptr,
                          core::monotonic_time now = start) const
    {
        return server_selector(
            settings, selector_input{activeConfiguration, servers, excluded}, previous, now);
    }

    // Counts selections by version or by address. Each slot is released at once.
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
        selector_fixture fixture;
        fixture.activeConfiguration = quotesWithMove(500);
        fixture.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        const server_selector selector = fixture.build();
        const int toNew = fixture.count(selector, true, 20'000)["v2"];
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("expected about 1000, got ", toNew),
                               toNew > 850 && toNew < 1150);
    }

    // Guards against traffic to a version that is known to be faulty (P4).
    void sendsNothingToExcludedVersion()
    {
        selector_fixture fixture;
        fixture.activeConfiguration = quotesWithMove(5000);
        fixture.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        fixture.excluded.insert({quotes, core::version_name{"v2"}});
        CPPUNIT_ASSERT_EQUAL(0, fixture.count(fixture.build(), true, 2000)["v2"]);
        // After the move is done, the old version takes over as long as it has servers.
        fixture.activeConfiguration.moves[0].phase = document::move_phase::Done;
        fixture.activeConfiguration.moves[0].newShareBasisPoints = 10'000;
        CPPUNIT_ASSERT_EQUAL(2000, fixture.count(fixture.build(), true, 2000)["v1"]);
    }

    // Guards against a new version that gets more than its share because the old version is full or
    // excluded (P4).
    void newVersionNeverTakesOverflowOfOld()
    {
        selector_fixture fixture;
        fixture.activeConfiguration = quotesWithMove(100);
        fixture.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        fixture.servers[0].slots = 1;
        const server_selector selector = fixture.build();
        std::vector<server_claim> keptClaims;
        int toNew = 0;
        for (int time = 0; time < 200; ++time) {
            auto claim = selector.select(quotes, start, fixture.engine);
            if (core::isOk(claim)) {
                toNew += core::valueIn(claim).server().version.value == "v2" ? 1 : 0;
                keptClaims.push_back(core::valueIn(std::move(claim)));
            }
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("to new ", toNew), toNew <= 8);
        fixture.excluded.insert({quotes, core::version_name{"v1"}});
        fixture.servers[0].slots = 10;
        const int excludedOld = fixture.count(fixture.build(), true, 2000)["v2"];
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("to new ", excludedOld), excludedOld < 60);
    }

    // Guards against circuit breakers that together reject every request.
    void spreadsWhereEveryVersionIsExcluded()
    {
        selector_fixture fixture;
        fixture.activeConfiguration = quotesWithMove(500);
        fixture.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v2", "dc1")};
        fixture.excluded.insert({quotes, core::version_name{"v1"}});
        fixture.excluded.insert({quotes, core::version_name{"v2"}});
        // The new version of the running move still gets no traffic.
        CPPUNIT_ASSERT_EQUAL(2000, fixture.count(fixture.build(), true, 2000)["v1"]);
    }

    void prefersOwnDataCentreThenSpareCapacity()
    {
        selector_fixture fixture;
        fixture.servers
            = {serverOf(1, "v1", "dc1"), serverOf(2, "v1", "dc2"), serverOf(3, "v1", "dc3")};
        const server_selector selector = fixture.build();
        CPPUNIT_ASSERT_EQUAL(100, fixture.count(selector, false, 100)["127.0.0.1:80"]);
        // The local server is full; the second one has a tenth of the spare capacity of the third.
        selector.healthOf(fixture.servers[0].address)->recordLoad(10, start);
        selector.healthOf(fixture.servers[1].address)->recordLoad(9, start);
        std::map<std::string, int> spilled = fixture.count(selector, false, 1100);
        CPPUNIT_ASSERT_EQUAL(0, spilled["127.0.0.1:80"]);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("to second ", spilled["127.0.0.2:80"]),
                               spilled["127.0.0.2:80"] > 50 && spilled["127.0.0.2:80"] < 180);
    }

    // Guards against a server that gets more requests than it has slots or connections for.
    void neverExceedsSlotsOrConnections()
    {
        test::checkProperty("limits hold", [](std::uint64_t seed) {
            selector_fixture fixture;
            fixture.engine.seed(seed);
            fixture.settings.nodeCount = *rc::gen::inRange(1, 40);
            for (int number = 1; number <= *rc::gen::inRange(1, 6); ++number) {
                fixture.servers.push_back(serverOf(number, "v1", number % 2 == 0 ? "dc1" : "dc2"));
                fixture.servers.back().slots = *rc::gen::inRange(1, 13);
            }
            const server_selector selector = fixture.build();
            std::vector<server_claim> heldClaims;
            for (int step = 0; step < 200; ++step) {
                if (!heldClaims.empty() && fixture.engine() % 3 == 0) {
                    heldClaims.back().finish(
                        attempt_outcome{}, std::chrono::milliseconds(5), start);
                    heldClaims.pop_back();
                }
                auto claim = selector.select(quotes, start, fixture.engine);
                if (core::isOk(claim)) {
                    heldClaims.push_back(core::valueIn(std::move(claim)));
                }
                std::map<std::string, std::uint32_t> used;
                for (const server_claim &each : heldClaims) {
                    ++used[each.server().address.value];
                }
                for (const backend_server &each : fixture.servers) {
                    const std::uint32_t connections
                        = std::max(each.connections / fixture.settings.nodeCount, 1U);
                    RC_ASSERT(used[each.address.value] <= std::min(each.slots, connections));
                }
            }
        });
    }

    // Guards against a lost update of the count of requests in flight.
    void neverExceedsSlotsFromFourThreads()
    {
        selector_fixture fixture;
        fixture.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v1", "dc1")};
        const server_selector selector = fixture.build();
        std::atomic<std::uint32_t> maxInFlight{0};
        const auto work = [&selector, &maxInFlight, &fixture](std::uint64_t seed) {
            core::random_engine engine(seed);
            std::vector<server_claim> heldClaims;
            for (int step = 0; step < 5000; ++step) {
                auto claim = selector.select(quotes, start, engine);
                if (core::isOk(claim)) {
                    heldClaims.push_back(core::valueIn(std::move(claim)));
                }
                for (const backend_server &each : fixture.servers) {
                    const std::uint32_t now = selector.healthOf(each.address)->inFlight();
                    std::uint32_t seen = maxInFlight.load();
                    while (now > seen && !maxInFlight.compare_exchange_weak(seen, now)) {
                    }
                }
                if (engine() % 8 == 0) {
                    heldClaims.clear();
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
        CPPUNIT_ASSERT(maxInFlight.load() <= 10);
        for (const backend_server &each : fixture.servers) {
            CPPUNIT_ASSERT_EQUAL(0U, selector.healthOf(each.address)->inFlight());
        }
    }

    // Guards against ejections that leave too few servers, or none if all of them are faulty.
    void ejectsAtMostHalf()
    {
        for (int bad = 1; bad <= 4; ++bad) {
            selector_fixture fixture;
            for (int number = 1; number <= 4; ++number) {
                fixture.servers.push_back(serverOf(number, "v1", "dc1"));
            }
            const server_selector selector = fixture.build();
            for (int number = 0; number < bad; ++number) {
                for (int fault = 0; fault < 5; ++fault) {
                    selector.healthOf(fixture.servers[number].address)
                        ->record(serverFault, std::chrono::milliseconds(5), start);
                }
            }
            const std::map<std::string, int> counts = fixture.count(selector, false, 1000);
            const std::size_t expected = bad == 1 ? 3 : 2;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(bad, " of 4 bad"), expected, counts.size());
        }
        selector_fixture single;
        single.servers = {serverOf(1, "v1", "dc1")};
        const server_selector selector = single.build();
        for (int fault = 0; fault < 5; ++fault) {
            selector.healthOf(single.servers[0].address)
                ->record(serverFault, std::chrono::milliseconds(5), start);
        }
        CPPUNIT_ASSERT_EQUAL(10, single.count(selector, false, 10)["127.0.0.1:80"]);
    }

    // Guards against a cold server that gets its full share at once.
    void slowStartBoundsNewServer()
    {
        selector_fixture fixture;
        fixture.servers = {serverOf(1, "v1", "dc1")};
        const server_selector before = fixture.build();
        fixture.servers[0].incarnation = 2;
        const server_selector after = fixture.build(&before);
        const auto slotsAt = [&after, &fixture](core::monotonic_time now) {
            std::vector<server_claim> heldClaims;
            while (true) {
                auto claim = after.select(quotes, now, fixture.engine);
                if (!core::isOk(claim)) {
                    return heldClaims.size();
                }
                heldClaims.push_back(core::valueIn(std::move(claim)));
            }
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slotsAt(start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, slotsAt(start + std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, slotsAt(start + std::chrono::seconds(10)));
        // A rebuilt selector keeps the counters.
        const server_selector rebuilt = fixture.build(&after, start + std::chrono::seconds(10));
        CPPUNIT_ASSERT(rebuilt.healthOf(fixture.servers[0].address)
                       == after.healthOf(fixture.servers[0].address));
    }

    // Guards against sending requests to a server that is leaving (P8).
    void skipsServersThatAreNotReady()
    {
        selector_fixture fixture;
        fixture.servers = {serverOf(1, "v1", "dc1"), serverOf(2, "v1", "dc1")};
        fixture.servers[0].state = server_state::Draining;
        fixture.servers[1].state = server_state::Starting;
        const auto claim = fixture.build().select(quotes, start, fixture.engine);
        CPPUNIT_ASSERT(core::errorIn(claim)->code == core::error_code::NotFound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_selector_test);

} // namespace jackdawweir::request
