// Requests during planned stops (SIGTERM) and crashes (SIGKILL) of backend servers and nodes.

#include <signal.h>

#include <future>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include "process/connection_counter.h"
#include "process/deployment.h"
#include "process/wait.h"

namespace jackdawweir::process_test {

namespace {

constexpr long statusOk = 200;
constexpr long statusGatewayTimeout = 504;
// Long enough to observe the request in flight, and below the deadline of the route.
constexpr std::chrono::milliseconds slowWork{2000};

std::string newKey(const char *suffix)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return absl::StrCat(std::chrono::duration_cast<std::chrono::seconds>(now).count(), "-", suffix);
}

// Returns the HTTP status of the response; 0 if none came.
long statusIn(const cli::http_result &result)
{
    const auto *reply = std::get_if<cli::http_reply>(&result);
    return reply == nullptr ? 0 : reply->status;
}

long order(const deployment &run, host_id node, const std::string &key)
{
    return statusIn(run.request(node, "POST", "/orders/7", {{"Jackdawweir-Request-Key", key}}));
}

std::future<long> beginOrder(const deployment &run, host_id node, const std::string &key)
{
    return std::async(std::launch::async, [&run, node, key] { return order(run, node, key); });
}

// Returns the host whose backend server runs the request.
host_id waitUntilRuns(const deployment &run, const std::string &key)
{
    std::optional<host_id> found;
    CPPUNIT_ASSERT_MESSAGE(key, waitUntil(waitTimeout, [&] {
                               for (const host_id &host : deployment::hosts()) {
                                   if (run.runsAt(host, key) > 0) {
                                       found = host;
                                   }
                               }
                               return found.has_value();
                           }));
    return *found;
}

// A source grants request keys only once its ledger is ready, which is some time after its
// promotion to voter.
void waitUntilOrdersRun(const deployment &run)
{
    unsigned serial = 0;
    CPPUNIT_ASSERT_MESSAGE("orders run", waitUntil(waitTimeout, [&] {
                               const std::string key
                                   = newKey(absl::StrCat("first", ++serial).c_str());
                               return order(run, {1, 2}, key) == statusOk;
                           }));
}

void startSlowServers(deployment &run)
{
    for (const host_id &host : deployment::hosts()) {
        run.startServer(host, slowWork);
    }
    waitUntilOrdersRun(run);
}

} // namespace

class request_failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_failure_test);
    CPPUNIT_TEST(killedServerGetsNoNewRequestAfterThreeSeconds);
    CPPUNIT_TEST(terminatedServerAndNodeFinishRequestsInFlight);
    CPPUNIT_TEST(resentOrderRunsOnceEvenAfterItsNodeIsKilled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that keep selecting a backend server whose lease has expired (P8).
    void killedServerGetsNoNewRequestAfterThreeSeconds()
    {
        deployment run(6);
        run.start();
        const host_id killed{2, 2};
        unsigned serial = 0;
        CPPUNIT_ASSERT_MESSAGE("the server is in use", waitUntil(waitTimeout, [&] {
                                   order(run, killed, newKey(std::to_string(++serial).c_str()));
                                   return run.runsAt(killed, "") > 0;
                               }));
        run.server(killed).killAndReap();
        const auto killedAt = std::chrono::steady_clock::now();
        // Listens on the killed server's address, so it sees each attempt that a node makes.
        connection_counter attempts(run.serverAddress(killed));
        constexpr std::chrono::seconds bound{3};
        constexpr std::chrono::seconds observed{6};
        std::size_t answered = 0;
        while (std::chrono::steady_clock::now() < killedAt + observed) {
            for (const host_id &host : deployment::hosts()) {
                answered += statusIn(run.request(host, "GET", "/quotes/1")) == statusOk ? 1 : 0;
                attempts.acceptWaiting();
            }
        }
        CPPUNIT_ASSERT(answered > 0);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(attempts.count(), " attempts"),
                               attempts.count() == 0 || attempts.lastAt() <= killedAt + bound);
    }

    // Guards against a planned stop that aborts a request in flight (P9).
    void terminatedServerAndNodeFinishRequestsInFlight()
    {
        deployment run(7);
        run.start();
        startSlowServers(run);
        const std::string first = newKey("server-stop");
        std::future<long> atServer = beginOrder(run, {1, 2}, first);
        child_process &server = run.server(waitUntilRuns(run, first));
        server.kill(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(statusOk, atServer.get());
        CPPUNIT_ASSERT_EQUAL(0, server.waitForExit(waitTimeout).value_or(-1));

        const std::string second = newKey("node-stop");
        std::future<long> atNode = beginOrder(run, {2, 2}, second);
        waitUntilRuns(run, second);
        child_process &daemon = run.daemon({2, 2});
        daemon.kill(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(statusOk, atNode.get());
        CPPUNIT_ASSERT_EQUAL(0, daemon.waitForExit(waitTimeout).value_or(-1));
    }

    // Guards against an order that runs twice when its caller resends it through another node (P7).
    void resentOrderRunsOnceEvenAfterItsNodeIsKilled()
    {
        deployment run(8);
        run.start();
        waitUntilOrdersRun(run);
        const std::string finished = newKey("finished");
        CPPUNIT_ASSERT_EQUAL(statusOk, order(run, {1, 2}, finished));
        CPPUNIT_ASSERT_EQUAL(statusOk, order(run, {2, 2}, finished));
        CPPUNIT_ASSERT_EQUAL(1U, run.runsOf(finished));

        startSlowServers(run);
        const std::string cut = newKey("cut");
        std::future<long> lost = beginOrder(run, {1, 2}, cut);
        waitUntilRuns(run, cut);
        run.killDaemon({1, 2});
        CPPUNIT_ASSERT_EQUAL(0L, lost.get());
        for (const host_id &node : {host_id{2, 2}, host_id{3, 2}, host_id{1, 3}}) {
            // The killed node recorded no outcome, so the result of the attempt is unknown.
            CPPUNIT_ASSERT_EQUAL(statusGatewayTimeout, order(run, node, cut));
        }
        CPPUNIT_ASSERT_EQUAL(1U, run.runsOf(cut));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_failure_test);

} // namespace jackdawweir::process_test
