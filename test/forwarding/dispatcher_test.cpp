#include "jackdawweir/forwarding/dispatcher.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(refusesBeforeTheFirstPolicy);
    CPPUNIT_TEST(refusesWhileTheViewHoldsNoPolicy);
    CPPUNIT_TEST(answersNoRouteForAnUnknownPath);
    CPPUNIT_TEST(relaysTheServersResponse);
    CPPUNIT_TEST(repeatsAnIdempotentRequestThatFailed);
    CPPUNIT_TEST(neverRepeatsANonIdempotentRequestThatFailed);
    CPPUNIT_TEST(neverRepeatsANonIdempotentRequestOfUnknownOutcome);
    CPPUNIT_TEST(answersUnknownWhenTheLinkOfANonIdempotentRequestIsLost);
    CPPUNIT_TEST(sendsElsewhereWhatNeverLeft);
    CPPUNIT_TEST(sendsElsewhereWhatAGateRefused);
    CPPUNIT_TEST(tellsWhenToComeBackAfterRefusals);
    CPPUNIT_TEST(asksAGateToHoldOnlyTheLastTry);
    CPPUNIT_TEST(asksAGateToHoldARequestForTheOnlyServer);
    CPPUNIT_TEST(countsTheTimeThatACallerWaitedBefore);
    CPPUNIT_TEST(neverExceedsTheRoutesAttempts);
    CPPUNIT_TEST(answersAtTheRoutesTimeout);
    CPPUNIT_TEST(cancelsWhenTheCallerLeaves);
    CPPUNIT_TEST(movesIdempotentRequestsFromASilentNode);
    CPPUNIT_TEST(keepsNonIdempotentRequestsAtASilentNode);
    CPPUNIT_TEST(waitsForASilentNodeWhereNoOtherServerTakesTheRequest);
    CPPUNIT_TEST(takesTheAnswerOfASilentNodeThatComesFirst);
    CPPUNIT_TEST(cancelsAtASilentNodeOnceAnotherAnswered);
    CPPUNIT_TEST(goesOnElsewhereWhenTheLinkToASilentNodeIsLost);
    CPPUNIT_TEST(sharesRequestsByWeight);
    CPPUNIT_TEST(keepsToTheEstablishedVersion);
    CPPUNIT_TEST(sendsNothingToARolledBackVersion);
    CPPUNIT_TEST(leavesAFailingTargetBeforeTheSourceDecides);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a 404 from a node that knows no policy yet.
    void refusesBeforeTheFirstPolicy()
    {
        dispatcher_fixture world;
        world.begin("/lookup/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers.size());
        CPPUNIT_ASSERT(world.answers[0].outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT(world.answers[0].retryAfter.count() > 0);
    }

    // Guards against a 404 before the operator's first policy (found by mesh_soak, seed 1).
    void refusesWhileTheViewHoldsNoPolicy()
    {
        dispatcher_fixture world;
        policy::policy_view versionsOnly;
        versionsOnly.revision = 2;
        versionsOnly.versions[core::service_name{"stock"}].value = "v1";
        world.own.setView(versionsOnly);
        world.begin("/lookup/1");
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::NotRun);
    }

    void answersNoRouteForAnUnknownPath()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/elsewhere/1");
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::NoRoute);
    }

    void relaysTheServersResponse()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/lookup/1");
        forward_answer answer = world.answered(200);
        answer.body = "stock";
        world.answerLast(answer);
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("stock"), world.answers[0].response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.own.openRequests());
    }

    void repeatsAnIdempotentRequestThatFailed()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/lookup/1");
        world.answerLast(world.answered(500));
        const auto forwards = world.forwards();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, forwards.size());
        CPPUNIT_ASSERT(forwards[0].peer != forwards[1].peer);
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT_EQUAL(200U, world.answers.at(0).response.status);
    }

    // Guards against a second run of an order after the first server answered with a failure of its
    // own, seen as two runs of one order on a calm day.
    void neverRepeatsANonIdempotentRequestThatFailed()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        world.answerLast(world.answered(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.forwards().size());
        CPPUNIT_ASSERT_EQUAL(500U, world.answers.at(0).response.status);
    }

    void neverRepeatsANonIdempotentRequestOfUnknownOutcome()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        world.answerLast(world.unknown());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.forwards().size());
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Unknown);
    }

    // Guards against calling a request "not run" that may have reached its server.
    void answersUnknownWhenTheLinkOfANonIdempotentRequestIsLost()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        world.own.linkLost(world.forwards()[0].peer, true, world.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.forwards().size());
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Unknown);
    }

    void sendsElsewhereWhatNeverLeft()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        const core::endpoint first = world.forwards()[0].peer;
        world.own.linkLost(first, false, world.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.forwards().size());
        CPPUNIT_ASSERT(world.forwards()[1].peer != first);
        CPPUNIT_ASSERT(world.answers.empty());
    }

    void sendsElsewhereWhatAGateRefused()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        world.answerLast(world.notRun(forward_reason::Full));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.forwards().size());
        world.answerLast(world.notRun(forward_reason::Draining));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.forwards().size());
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Answered);
    }

    void tellsWhenToComeBackAfterRefusals()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        for (int refusal = 0; refusal < 3; ++refusal) {
            world.answerLast(world.notRun(forward_reason::Full));
        }
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT(world.answers[0].retryAfter >= milliseconds(150));
        CPPUNIT_ASSERT(world.answers[0].retryAfter <= milliseconds(300));
    }

    // Guards against waiting at the first full server while another one is idle.
    void asksAGateToHoldOnlyTheLastTry()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        CPPUNIT_ASSERT(world.lastForward().mayGoElsewhere);
        world.answerLast(world.notRun(forward_reason::Full));
        CPPUNIT_ASSERT(world.lastForward().mayGoElsewhere);
        world.answerLast(world.notRun(forward_reason::Full));
        CPPUNIT_ASSERT(!world.lastForward().mayGoElsewhere);
    }

    void asksAGateToHoldARequestForTheOnlyServer()
    {
        dispatcher_fixture world;
        world.own.setView(world.view());
        world.own.setHosts({world.hostWith("host-a", "a")}, world.now);
        world.begin("/order/1");
        CPPUNIT_ASSERT(!world.lastForward().mayGoElsewhere);
    }

    // Guards against a caller that comes back after its target and takes the slot of one that can
    // still be answered in time.
    void countsTheTimeThatACallerWaitedBefore()
    {
        dispatcher_fixture world;
        world.serve();
        for (int request = 0; request < 20; ++request) {
            world.begin("/order/1");
            world.answerLast(world.answered(200));
        }
        world.own.begin(
            world.request("/order/1", milliseconds(1550)), [](const caller_answer &) {}, world.now);
        CPPUNIT_ASSERT(world.lastForward().targetRemaining == milliseconds(-150));
    }

    void neverExceedsTheRoutesAttempts()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/lookup/1");
        world.answerLast(world.unknown());
        world.answerLast(world.unknown());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.forwards().size());
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Unknown);
    }

    void answersAtTheRoutesTimeout()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        for (int step = 0; step < 20; ++step) {
            // The node answers probes, its server does not.
            world.own.noteReceived(world.forwards()[0].peer, world.now);
            world.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::TimedOut);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.cancels());
    }

    void cancelsWhenTheCallerLeaves()
    {
        dispatcher_fixture world;
        world.serve();
        const std::uint64_t number = world.begin("/order/1");
        world.own.cancel(number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.cancels());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.own.openRequests());
        CPPUNIT_ASSERT(world.answers.empty());
    }

    // Guards against requests that wait for a frozen node until their deadline.
    void movesIdempotentRequestsFromASilentNode()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/lookup/1");
        for (int step = 0; step < 14; ++step) {
            world.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.forwards().size());
        CPPUNIT_ASSERT(world.forwards()[0].peer != world.forwards()[1].peer);
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Answered);
    }

    // Begins an idempotent request and lets its node be silent until it is sent to another one.
    static void moveFromASilentNode(dispatcher_fixture &world)
    {
        world.serve();
        world.begin("/lookup/1");
        for (int step = 0; step < 10; ++step) {
            world.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.forwards().size());
    }

    static void answerFirst(dispatcher_fixture &world, forward_answer answer)
    {
        const sent_message first = world.forwards().front();
        answer.number = dispatcher_fixture::numberOf(first);
        answer.load.slots = 4;
        world.own.handle(first.peer, std::move(answer), world.now);
    }

    // Guards against giving up a request that a slow node runs because all others are full.
    void waitsForASilentNodeWhereNoOtherServerTakesTheRequest()
    {
        dispatcher_fixture world;
        moveFromASilentNode(world);
        while (world.answers.empty() && world.forwards().size() < 3) {
            world.answerLast(world.notRun(forward_reason::Full));
        }
        world.answerLast(world.notRun(forward_reason::Full));
        CPPUNIT_ASSERT(world.answers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.cancels());
        answerFirst(world, world.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers.size());
        CPPUNIT_ASSERT(world.answers[0].outcome == caller_outcome::Answered);
    }

    void takesTheAnswerOfASilentNodeThatComesFirst()
    {
        dispatcher_fixture world;
        moveFromASilentNode(world);
        answerFirst(world, world.answered(200));
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.cancels());
        CPPUNIT_ASSERT(world.sent.back().peer == world.forwards().back().peer);
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.own.openRequests());
    }

    void cancelsAtASilentNodeOnceAnotherAnswered()
    {
        dispatcher_fixture world;
        moveFromASilentNode(world);
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.cancels());
        CPPUNIT_ASSERT(world.sent.back().peer == world.forwards().front().peer);
        answerFirst(world, world.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers.size());
    }

    void goesOnElsewhereWhenTheLinkToASilentNodeIsLost()
    {
        dispatcher_fixture world;
        moveFromASilentNode(world);
        world.own.linkLost(world.forwards().front().peer, true, world.now);
        CPPUNIT_ASSERT(world.answers.empty());
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.cancels());
    }

    void keepsNonIdempotentRequestsAtASilentNode()
    {
        dispatcher_fixture world;
        world.serve();
        world.begin("/order/1");
        for (int step = 0; step < 14; ++step) {
            world.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.forwards().size());
        world.answerLast(world.answered(200));
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::Answered);
    }

    void sharesRequestsByWeight()
    {
        dispatcher_fixture world;
        policy::policy_view view = world.view();
        view.policy.routes[0].parts
            = {{core::service_name{"stock"}, 90}, {core::service_name{"other"}, 10}};
        fleet::host_record other = world.hostWith("host-d", "a");
        other.servers[0].service.value = "other";
        world.own.setView(view);
        world.own.setHosts({world.hostWith("host-a", "a"), other}, world.now);
        std::map<std::string, int> counts;
        for (int request = 0; request < 100; ++request) {
            world.begin("/lookup/1");
            ++counts[world.forwards().back().peer.value];
            world.answerLast(world.answered(200));
        }
        CPPUNIT_ASSERT(counts["host-a:7000"] >= 89 && counts["host-a:7000"] <= 91);
        CPPUNIT_ASSERT_EQUAL(100, counts["host-a:7000"] + counts["host-d:7000"]);
    }

    void keepsToTheEstablishedVersion()
    {
        dispatcher_fixture world;
        policy::policy_view view = world.view();
        view.versions[core::service_name{"stock"}].value = "v1";
        world.own.setView(view);
        world.own.setHosts(
            {world.hostWith("host-a", "a", "v1"), world.hostWith("host-b", "a", "v2")}, world.now);
        for (int request = 0; request < 20; ++request) {
            world.begin("/lookup/1");
            CPPUNIT_ASSERT_EQUAL(std::string("host-a:7000"), world.forwards().back().peer.value);
            world.answerLast(world.answered(200));
        }
    }

    // Guards against a bad version that gets every request until a source that leads decides.
    void leavesAFailingTargetBeforeTheSourceDecides()
    {
        dispatcher_fixture world;
        policy::policy_view view = world.view();
        view.versions[core::service_name{"stock"}].value = "v1";
        policy::rollout running;
        running.id = 4;
        running.service.value = "stock";
        running.target.value = "v2";
        running.previous.value = "v1";
        running.share = policy::wholeShare;
        view.rollouts = {running};
        world.own.setView(view);
        world.own.setHosts(
            {world.hostWith("host-a", "a", "v1"), world.hostWith("host-b", "a", "v2")}, world.now);
        std::map<std::string, int> counts;
        for (int request = 0; request < 20; ++request) {
            world.begin("/order/1");
            const std::string peer = world.forwards().back().peer.value;
            ++counts[peer];
            world.answerLast(world.answered(peer == "host-b:7000" ? 500 : 200));
        }
        CPPUNIT_ASSERT_EQUAL(4, counts["host-b:7000"]);
        CPPUNIT_ASSERT_EQUAL(16, counts["host-a:7000"]);
    }

    // Guards against requests to a bad version once no server of the version before is left.
    void sendsNothingToARolledBackVersion()
    {
        dispatcher_fixture world;
        policy::policy_view view = world.view();
        view.versions[core::service_name{"stock"}].value = "v1";
        policy::rollout ended;
        ended.service.value = "stock";
        ended.target.value = "v2";
        ended.previous.value = "v1";
        ended.phase = policy::rollout_phase::RolledBack;
        view.rollouts = {ended};
        world.own.setView(view);
        world.own.setHosts({world.hostWith("host-b", "a", "v2")}, world.now);
        world.begin("/lookup/1");
        CPPUNIT_ASSERT(world.forwards().empty());
        CPPUNIT_ASSERT(world.answers.at(0).outcome == caller_outcome::NotRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace jackdawweir::forwarding
