// A node that is killed and restarted.

#include <cppunit/extensions/HelperMacros.h>

#include "process/deployment.h"
#include "process/wait.h"

namespace jackdawweir::process_test {

class node_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_restart_test);
    CPPUNIT_TEST(restartedNodeServesTheNewestVersionAndNoOlderOne);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a restarted node that serves the version it held before, or an older one from
    // a stale relay, while a newer one is in force.
    void restartedNodeServesTheNewestVersionAndNoOlderOne()
    {
        deployment run(1);
        run.start();
        const host_id killed{2, 2};
        const host_id asked{1, 1};
        run.killDaemon(killed);
        const submit_answer newest
            = run.applyThrough(asked, "while-down", deployment::documentText(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(newest.body, std::string("accepted"), newest.outcome);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return run.allServe({{1, 1}, {2, 1}, {2, 3}, {3, 1}}, newest.version);
        }));

        run.spawnDaemon(killed);
        CPPUNIT_ASSERT_MESSAGE("serves again", waitUntil(waitTimeout, [&] {
                                   const host_status seen = run.status(killed);
                                   if (seen.isServing) {
                                       CPPUNIT_ASSERT_MESSAGE(core::toString(seen.version),
                                                              seen.version >= newest.version);
                                   }
                                   return seen.isServing;
                               }));
        CPPUNIT_ASSERT_EQUAL(core::toString(newest.version),
                             core::toString(run.status(killed).version));
        CPPUNIT_ASSERT_MESSAGE("answers a lookup", waitUntil(waitTimeout, [&] {
                                   const auto answer = run.request(killed, "GET", "/quotes/1");
                                   const auto *reply = std::get_if<cli::http_reply>(&answer);
                                   return reply != nullptr && reply->status == 200;
                               }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_restart_test);

} // namespace jackdawweir::process_test
