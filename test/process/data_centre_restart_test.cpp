// All daemons of a data centre fail at the same time.

#include <cppunit/extensions/HelperMacros.h>

#include "process/deployment.h"
#include "process/wait.h"

namespace jackdawweir::process_test {

class data_centre_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(data_centre_restart_test);
    CPPUNIT_TEST(restartedDataCentreServesTheNewestVersionAndRefusesWithoutSources);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a data centre that, after all its nodes lost their state in a restart, serves
    // an older version, or serves any version while no source can confirm the newest one.
    void restartedDataCentreServesTheNewestVersionAndRefusesWithoutSources()
    {
        deployment run(4);
        run.start();
        const std::vector<host_id> failed = deployment::hostsIn(2);
        const submit_answer newest
            = run.applyThrough({1, 1}, "newest", deployment::documentText(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(newest.body, std::string("accepted"), newest.outcome);
        CPPUNIT_ASSERT(waitUntil(
            waitTimeout, [&] { return run.allServe(deployment::hosts(), newest.version); }));
        restart(run, failed);
        waitUntilServed(run, failed, newest.version);

        for (const host_id &source : deployment::sources()) {
            run.killDaemon(source);
        }
        const std::vector<host_id> withoutSource{{2, 2}, {2, 3}};
        restart(run, withoutSource);
        CPPUNIT_ASSERT_MESSAGE("refuses with the reason", waitUntil(waitTimeout, [&] {
                                   return refuses(run, {2, 2}) && refuses(run, {2, 3});
                               }));
        const auto answer = run.request({2, 2}, "GET", "/quotes/1");
        const auto *reply = std::get_if<cli::http_reply>(&answer);
        CPPUNIT_ASSERT(reply != nullptr);
        CPPUNIT_ASSERT_EQUAL(503L, reply->status);

        for (const host_id &source : deployment::sources()) {
            run.spawnDaemon(source);
        }
        waitUntilServed(run, deployment::hosts(), newest.version);
    }

private:
    static void restart(deployment &run, const std::vector<host_id> &hosts)
    {
        for (const host_id &host : hosts) {
            run.killDaemon(host);
        }
        for (const host_id &host : hosts) {
            run.spawnDaemon(host);
        }
    }

    static void assertNotOlder(const host_status &seen, const core::config_version &newest)
    {
        CPPUNIT_ASSERT_MESSAGE(core::toString(seen.version),
                               !seen.isServing || seen.version >= newest);
    }

    static void waitUntilServed(const deployment &run,
                                const std::vector<host_id> &hosts,
                                const core::config_version &newest)
    {
        CPPUNIT_ASSERT_MESSAGE("serves the newest version", waitUntil(waitTimeout, [&] {
                                   for (const host_id &host : hosts) {
                                       assertNotOlder(run.status(host), newest);
                                   }
                                   return run.allServe(hosts, newest);
                               }));
    }

    static bool refuses(const deployment &run, host_id host)
    {
        const host_status seen = run.status(host);
        CPPUNIT_ASSERT_MESSAGE(core::toString(seen.version), !seen.isServing);
        return seen.isReachable && !seen.reason.empty();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(data_centre_restart_test);

} // namespace jackdawweir::process_test
