#include "jackdawweir/forwarding/server_choice.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class server_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_choice_test);
    CPPUNIT_TEST(prefersTheOwnDataCentre);
    CPPUNIT_TEST(leavesAFullServer);
    CPPUNIT_TEST(sendsLessToASlowServer);
    CPPUNIT_TEST(sendsLessToAFailingServer);
    CPPUNIT_TEST(leavesOutWhatIsDrainingAbsentOrUnreachable);
    CPPUNIT_TEST(keepsWhatItLearnedOfListedServers);
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

    static server_choice choiceOf(const std::vector<fleet::host_record> &hosts)
    {
        choice_settings settings;
        settings.ownDataCentre.value = "a";
        server_choice made(settings);
        made.setHosts(hosts, now);
        return made;
    }

    static wanted_server wanted()
    {
        wanted_server made;
        made.service.value = "stock";
        return made;
    }

    static void report(server_choice &choice,
                       const std::string &name,
                       std::uint32_t running,
                       milliseconds pace,
                       std::uint32_t failuresPerMille = 0)
    {
        server_load load;
        load.running = running;
        load.slots = 4;
        load.meanRunTime = pace;
        load.failuresPerMille = failuresPerMille;
        choice.ended(fleet::instance_name{name}, load, now);
    }

    std::map<std::string, int> draw(server_choice &choice, int count = 100)
    {
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index) {
            if (const auto server = choice.choose(wanted(), now, m_engine)) {
                ++chosen[server->instance.value];
            }
        }
        return chosen;
    }

    void prefersTheOwnDataCentre()
    {
        server_choice choice = choiceOf({host("near", "a"), host("far", "b")});
        CPPUNIT_ASSERT(draw(choice)["near"] >= 80);
    }

    void leavesAFullServer()
    {
        server_choice choice = choiceOf({host("near", "a"), host("far", "b")});
        report(choice, "near", 12, milliseconds(50));
        report(choice, "far", 0, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(100, draw(choice)["far"]);
    }

    void sendsLessToASlowServer()
    {
        server_choice choice = choiceOf({host("slow", "a"), host("fast", "a")});
        report(choice, "slow", 0, milliseconds(200));
        report(choice, "fast", 0, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(100, draw(choice)["fast"]);
    }

    // Guards against a server that answers with failures at once and so looks fast.
    void sendsLessToAFailingServer()
    {
        server_choice choice = choiceOf({host("failing", "a"), host("sound", "a")});
        report(choice, "failing", 0, milliseconds(50), 500);
        report(choice, "sound", 0, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(100, draw(choice)["sound"]);
    }

    void leavesOutWhatIsDrainingAbsentOrUnreachable()
    {
        fleet::host_record leaving = host("leaving", "a");
        leaving.servers[0].isDraining = true;
        server_choice choice = choiceOf({leaving, host("absent", "a"), host("cut-off", "a")});
        choice.setAbsent(fleet::instance_name{"absent"}, now);
        choice.setReachable(core::endpoint{"cut-off:7000"}, false);
        CPPUNIT_ASSERT(draw(choice).empty());
        choice.setReachable(core::endpoint{"cut-off:7000"}, true);
        CPPUNIT_ASSERT_EQUAL(100, draw(choice)["cut-off"]);
    }

    void keepsWhatItLearnedOfListedServers()
    {
        server_choice choice = choiceOf({host("slow", "a"), host("fast", "a")});
        report(choice, "slow", 0, milliseconds(200));
        report(choice, "fast", 0, milliseconds(50));
        choice.setHosts({host("slow", "a"), host("fast", "a")}, now);
        CPPUNIT_ASSERT_EQUAL(100, draw(choice)["fast"]);
    }

private:
    static constexpr core::monotonic_time now{std::chrono::seconds(100)};
    core::random_engine m_engine{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_choice_test);

} // namespace jackdawweir::forwarding
