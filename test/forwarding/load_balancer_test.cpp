#include "jackdawweir/forwarding/load_balancer.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class load_balancer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_balancer_test);
    CPPUNIT_TEST(prefersTheOwnDataCentre);
    CPPUNIT_TEST(staysInTheOwnDataCentreWithinTheTarget);
    CPPUNIT_TEST(staysInTheOwnDataCentreOnAFastRouteOfASlowService);
    CPPUNIT_TEST(leavesTheOwnDataCentreWhereTheTargetWouldBeMissed);
    CPPUNIT_TEST(staysInTheOwnDataCentreWhileTheOthersRefuse);
    CPPUNIT_TEST(avoidsAFullServer);
    CPPUNIT_TEST(avoidsASlowServer);
    CPPUNIT_TEST(comparesServersByTheRunTimeOfTheRoute);
    CPPUNIT_TEST(avoidsAFailingServer);
    CPPUNIT_TEST(avoidsAServerAtItsLimit);
    CPPUNIT_TEST(spreadsItsRequestsOverTheLimitOfAServer);
    CPPUNIT_TEST(skipsDrainingAbsentAndUnreachableServers);
    CPPUNIT_TEST(keepsTheLoadOfListedServers);
    CPPUNIT_TEST_SUITE_END();

public:
    static fleet::host_record host(const std::string &name, const std::string &dataCentre)
    {
        fleet::host_record made;
        made.host.value = name;
        made.dataCentre.value = dataCentre;
        made.endpoint.value = name + ":7000";
        fleet::server_record server;
        server.instance.value = name;
        server.service.value = "stock";
        server.slots = 4;
        made.servers = {server};
        return made;
    }

    static load_balancer balancerOf(const std::vector<fleet::host_record> &hosts)
    {
        load_balancer_settings settings;
        settings.ownDataCentre.value = "a";
        load_balancer made(settings);
        made.setHosts(hosts, now);
        return made;
    }

    static server_criteria criteria()
    {
        server_criteria made;
        made.service.value = "stock";
        made.route = testedRoute;
        return made;
    }

    static void report(load_balancer &balancer,
                       const std::string &name,
                       std::uint32_t running,
                       milliseconds runTime,
                       std::uint32_t failuresPerMille = 0)
    {
        server_load load;
        load.running = running;
        load.slots = 4;
        load.meanRunTime = runTime;
        load.failuresPerMille = failuresPerMille;
        balancer.ended(fleet::instance_name{name}, otherRoute, load, now);
    }

    // Reports the run time of the route that criteria() names, at a server that runs other routes
    // as well.
    static void reportRoute(load_balancer &balancer,
                            const std::string &name,
                            std::uint32_t running,
                            milliseconds runTime,
                            milliseconds routeRunTime)
    {
        server_load load;
        load.running = running;
        load.slots = 4;
        load.meanRunTime = runTime;
        load.routeRunTime = routeRunTime;
        balancer.ended(fleet::instance_name{name}, testedRoute, load, now);
    }

    std::map<std::string, int>
    draw(load_balancer &balancer, int count = 100, milliseconds timeToTarget = milliseconds(0))
    {
        server_criteria wanted = criteria();
        wanted.timeToTarget = timeToTarget;
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index) {
            if (const auto server = balancer.choose(wanted, now, m_engine)) {
                ++chosen[server->instance.value];
            }
        }
        return chosen;
    }

    void prefersTheOwnDataCentre()
    {
        load_balancer balancer = balancerOf({host("near", "a"), host("far", "b")});
        CPPUNIT_ASSERT(draw(balancer)["near"] >= 80);
    }

    // Guards against requests that cross to another data centre, which costs more, although the
    // servers of the own one answer within the target.
    void staysInTheOwnDataCentreWithinTheTarget()
    {
        load_balancer balancer
            = balancerOf({host("near", "a"), host("far", "b"), host("further", "c")});
        report(balancer, "near", 3, milliseconds(160));
        report(balancer, "far", 0, milliseconds(90));
        report(balancer, "further", 0, milliseconds(90));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer, 100, milliseconds(500))["near"]);
    }

    // Guards against calls of a fast route that leave the data centre because the mean run time of
    // all routes exceeds their target.
    void staysInTheOwnDataCentreOnAFastRouteOfASlowService()
    {
        load_balancer balancer = balancerOf({host("near", "a"), host("far", "b")});
        report(balancer, "near", 2, milliseconds(360));
        report(balancer, "far", 0, milliseconds(330));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer, 100, milliseconds(100))["near"]);
    }

    void leavesTheOwnDataCentreWhereTheTargetWouldBeMissed()
    {
        load_balancer balancer = balancerOf({host("near", "a"), host("far", "b")});
        report(balancer, "near", 0, milliseconds(640));
        report(balancer, "far", 2, milliseconds(160));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer, 100, milliseconds(500))["far"]);
        report(balancer, "near", 12, milliseconds(160));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer, 100, milliseconds(500))["far"]);
    }

    // Guards against requests that cross to another data centre only to be refused there, while all
    // data centres are overloaded.
    void staysInTheOwnDataCentreWhileTheOthersRefuse()
    {
        load_balancer balancer = balancerOf({host("near", "a"), host("far", "b")});
        report(balancer, "near", 12, milliseconds(160));
        for (int index = 0; index < 20; ++index) {
            balancer.recordAdmission(fleet::instance_name{"far"}, false, now);
        }
        CPPUNIT_ASSERT(draw(balancer)["near"] >= 85);
        balancer.setHosts({host("far", "b")}, now);
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["far"]);
    }

    void avoidsAFullServer()
    {
        load_balancer balancer = balancerOf({host("near", "a"), host("far", "b")});
        report(balancer, "near", 12, milliseconds(50));
        report(balancer, "far", 0, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["far"]);
    }

    void avoidsASlowServer()
    {
        load_balancer balancer = balancerOf({host("slow", "a"), host("fast", "a")});
        report(balancer, "slow", 0, milliseconds(200));
        report(balancer, "fast", 0, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["fast"]);
    }

    // Guards against a server that gets ever more requests because it happened to run those of the
    // fastest route.
    void comparesServersByTheRunTimeOfTheRoute()
    {
        load_balancer balancer = balancerOf({host("mixed", "a"), host("lookups", "a")});
        reportRoute(balancer, "mixed", 0, milliseconds(300), milliseconds(80));
        reportRoute(balancer, "lookups", 4, milliseconds(80), milliseconds(80));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["mixed"]);
    }

    // Guards against preferring a server that looks fast because it fails requests immediately.
    void avoidsAFailingServer()
    {
        load_balancer balancer = balancerOf({host("failing", "a"), host("sound", "a")});
        report(balancer, "failing", 0, milliseconds(50), 500);
        report(balancer, "sound", 0, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["sound"]);
    }

    static void
    reportLimit(load_balancer &balancer, const std::string &name, double limit, milliseconds wait)
    {
        server_load load;
        load.slots = 4;
        load.meanRunTime = milliseconds(20);
        load.stated.requestsPerSecond = limit;
        load.limitWait = wait;
        balancer.ended(fleet::instance_name{name}, testedRoute, load, now);
    }

    // Guards against requests that an idle server refuses because of its limit.
    void avoidsAServerAtItsLimit()
    {
        load_balancer balancer = balancerOf({host("limited", "a"), host("free", "a")});
        reportLimit(balancer, "limited", 5, milliseconds(200));
        report(balancer, "free", 2, milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["free"]);
        const std::optional<chosen_server> later
            = balancer.choose(criteria(), now + milliseconds(250), m_engine);
        CPPUNIT_ASSERT_EQUAL(std::string("limited"), later.value().instance.value);
    }

    // Guards against a burst at a limited server before its next report.
    void spreadsItsRequestsOverTheLimitOfAServer()
    {
        load_balancer balancer = balancerOf({host("limited", "a"), host("free", "a")});
        reportLimit(balancer, "limited", 5, milliseconds(0));
        report(balancer, "free", 2, milliseconds(20));
        balancer.sent(fleet::instance_name{"limited"});
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["free"]);
    }

    void skipsDrainingAbsentAndUnreachableServers()
    {
        fleet::host_record leaving = host("leaving", "a");
        leaving.servers[0].isDraining = true;
        load_balancer balancer = balancerOf({leaving, host("absent", "a"), host("cut-off", "a")});
        balancer.markUnavailable(fleet::instance_name{"absent"}, now);
        balancer.setReachable(core::endpoint{"cut-off:7000"}, false);
        CPPUNIT_ASSERT(draw(balancer).empty());
        balancer.setReachable(core::endpoint{"cut-off:7000"}, true);
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["cut-off"]);
    }

    void keepsTheLoadOfListedServers()
    {
        load_balancer balancer = balancerOf({host("slow", "a"), host("fast", "a")});
        report(balancer, "slow", 0, milliseconds(200));
        report(balancer, "fast", 0, milliseconds(50));
        balancer.setHosts({host("slow", "a"), host("fast", "a")}, now);
        CPPUNIT_ASSERT_EQUAL(100, draw(balancer)["fast"]);
    }

private:
    static inline const core::route_name testedRoute{"lookup"};
    static inline const core::route_name otherRoute{"book"};
    static constexpr core::monotonic_time now{std::chrono::seconds(100)};
    core::random_engine m_engine{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_balancer_test);

} // namespace jackdawweir::forwarding
