// A data centre that is partitioned from the others.

#include <signal.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "process/deployment.h"
#include "process/wait.h"

namespace jackdawweir::process_test {

class data_centre_partition_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(data_centre_partition_test);
    CPPUNIT_TEST(dataCentreServesAloneWhileTheOthersAreUnreachable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a data centre that stops serving, or keeps selecting backend servers of the
    // other data centres, while those are unreachable. The others are paused with SIGSTOP, so their
    // connections stay open and report no error.
    void dataCentreServesAloneWhileTheOthersAreUnreachable()
    {
        deployment run(9);
        run.start();
        const std::vector<host_id> alone = deployment::hostsIn(2);
        signalOthers(run, SIGSTOP);
        CPPUNIT_ASSERT_MESSAGE("only own servers", waitUntil(waitTimeout, [&] {
                                   return std::all_of(
                                       alone.begin(), alone.end(), [&](const host_id &host) {
                                           return run.status(host).serverCount == alone.size();
                                       });
                               }));
        constexpr int requests = 20;
        for (int sent = 0; sent < requests; ++sent) {
            for (const host_id &host : alone) {
                const auto answer = run.request(host, "GET", "/quotes/1");
                const auto *reply = std::get_if<cli::http_reply>(&answer);
                CPPUNIT_ASSERT(reply != nullptr);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(reply->body, 200L, reply->status);
            }
        }
        signalOthers(run, SIGCONT);
        const submit_answer newest
            = run.applyThrough(alone.front(), "after-cut", deployment::documentText(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(newest.body, std::string("accepted"), newest.outcome);
        CPPUNIT_ASSERT_MESSAGE("every host serves the newest document", waitUntil(waitTimeout, [&] {
                                   return run.allServe(deployment::hosts(), newest.version);
                               }));
        const bool areAllKnown
            = waitUntil(waitTimeout, [&] { return allHostsKnowAllServers(run); });
        CPPUNIT_ASSERT_MESSAGE(serverCounts(run), areAllKnown);
    }

private:
    static bool allHostsKnowAllServers(const deployment &run)
    {
        const std::vector<host_id> all = deployment::hosts();
        return std::all_of(all.begin(), all.end(), [&](const host_id &host) {
            return run.status(host).serverCount == all.size();
        });
    }

    static std::string serverCounts(const deployment &run)
    {
        std::string counts = "backend servers known:";
        for (const host_id &host : deployment::hosts()) {
            counts += " " + toString(host) + "=" + std::to_string(run.status(host).serverCount);
        }
        return counts;
    }

    static void signalOthers(deployment &run, int signal)
    {
        for (const unsigned dataCentre : {1U, 3U}) {
            for (const host_id &host : deployment::hostsIn(dataCentre)) {
                run.daemon(host).kill(signal);
                run.server(host).kill(signal);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(data_centre_partition_test);

} // namespace jackdawweir::process_test
