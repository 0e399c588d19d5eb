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
    CPPUNIT_TEST(retriesAnIdempotentRequestThatFailed);
    CPPUNIT_TEST(neverRetriesANonIdempotentRequestThatFailed);
    CPPUNIT_TEST(neverRetriesANonIdempotentRequestOfUnknownOutcome);
    CPPUNIT_TEST(answersUnknownWhenTheLinkOfANonIdempotentRequestIsLost);
    CPPUNIT_TEST(usesAnotherServerIfTheLinkNeverConnected);
    CPPUNIT_TEST(usesAnotherServerAfterARefusal);
    CPPUNIT_TEST(returnsARetryDelayAfterRefusals);
    CPPUNIT_TEST(allowsQueueingOnlyAtTheLastServer);
    CPPUNIT_TEST(allowsQueueingAtTheOnlyServer);
    CPPUNIT_TEST(subtractsThePriorWaitFromTheTarget);
    CPPUNIT_TEST(neverExceedsTheRoutesAttempts);
    CPPUNIT_TEST(answersAtTheRoutesTimeout);
    CPPUNIT_TEST(cancelsWhenTheCallerDisconnects);
    CPPUNIT_TEST(splitsRequestsByWeight);
    CPPUNIT_TEST(usesTheEstablishedVersion);
    CPPUNIT_TEST(sendsNothingToARolledBackVersion);
    CPPUNIT_TEST(avoidsAFailingTargetBeforeTheSourceDecides);
    CPPUNIT_TEST(refusesTheCallersOfRecalledRequests);
    CPPUNIT_TEST(waitsForARecalledRequestThatRuns);
    CPPUNIT_TEST(sendsNothingAfterARecall);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a 404 response from a node that has not received a policy yet.
    void refusesBeforeTheFirstPolicy()
    {
        dispatcher_fixture fixture;
        fixture.begin("/lookup/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
        CPPUNIT_ASSERT(fixture.answers[0].outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT(fixture.answers[0].retryAfter.count() > 0);
    }

    // Guards against a 404 response before the operator applies the first policy (found by
    // mesh_soak, seed 1).
    void refusesWhileTheViewHoldsNoPolicy()
    {
        dispatcher_fixture fixture;
        policy::policy_view versionsOnly;
        versionsOnly.revision = 2;
        versionsOnly.versions[core::service_name{"stock"}].value = "v1";
        fixture.subject.setView(versionsOnly);
        fixture.begin("/lookup/1");
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NotRun);
    }

    // Guards against callers that get no answer when their node ends.
    void refusesTheCallersOfRecalledRequests()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        const std::uint64_t number = fixture.lastForward().number;
        fixture.subject.recallWaiting();
        const auto *recall = std::get_if<forward_recall>(&fixture.sent.back().body);
        CPPUNIT_ASSERT(recall != nullptr && recall->number == number);
        CPPUNIT_ASSERT(fixture.answers.empty());
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Recalled));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT(fixture.answers.at(0).retryAfter.count() > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.subject.openRequests());
    }

    // Guards against a "not run" for a request that a server works at.
    void waitsForARecalledRequestThatRuns()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        fixture.subject.recallWaiting();
        fixture.advance(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(fixture.answers.empty());
        fixture.answerLast(dispatcher_fixture::answered(200));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
    }

    // Guards against attempts that are begun just before the process ends, and cut off.
    void sendsNothingAfterARecall()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        fixture.begin("/lookup/2");
        fixture.subject.recallWaiting();
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Full));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NotRun);
        forward_answer failed = dispatcher_fixture::answered(500);
        failed.number = dispatcher_fixture::numberOf(fixture.forwards().front());
        fixture.subject.handle(fixture.forwards().front().peer, failed, fixture.now);
        CPPUNIT_ASSERT_EQUAL(500U, fixture.answers.at(1).response.status);
        fixture.begin("/lookup/3");
        CPPUNIT_ASSERT(fixture.answers.at(2).outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
    }

    void answersNoRouteForAnUnknownPath()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/elsewhere/1");
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NoRoute);
    }

    void relaysTheServersResponse()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        forward_answer answer = fixture.answered(200);
        answer.body = "stock";
        fixture.answerLast(answer);
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("stock"), fixture.answers[0].response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.subject.openRequests());
    }

    void retriesAnIdempotentRequestThatFailed()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        fixture.answerLast(fixture.answered(500));
        const auto forwards = fixture.forwards();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, forwards.size());
        CPPUNIT_ASSERT(forwards[0].peer != forwards[1].peer);
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.answers.at(0).response.status);
    }

    // Guards against running an order twice because the first server answered with an error after
    // it had run it. Seen as two runs of one order without any other fault.
    void neverRetriesANonIdempotentRequestThatFailed()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        fixture.answerLast(fixture.answered(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
        CPPUNIT_ASSERT_EQUAL(500U, fixture.answers.at(0).response.status);
    }

    void neverRetriesANonIdempotentRequestOfUnknownOutcome()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        fixture.answerLast(fixture.unknown());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unknown);
    }

    // Guards against reporting a request as not run that may have reached its server.
    void answersUnknownWhenTheLinkOfANonIdempotentRequestIsLost()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        fixture.subject.linkLost(fixture.forwards()[0].peer, true, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unknown);
    }

    void usesAnotherServerIfTheLinkNeverConnected()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        const core::endpoint first = fixture.forwards()[0].peer;
        fixture.subject.linkLost(first, false, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
        CPPUNIT_ASSERT(fixture.forwards()[1].peer != first);
        CPPUNIT_ASSERT(fixture.answers.empty());
    }

    void usesAnotherServerAfterARefusal()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        fixture.answerLast(fixture.notRun(forward_reason::Full));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
        fixture.answerLast(fixture.notRun(forward_reason::Draining));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.forwards().size());
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
    }

    void returnsARetryDelayAfterRefusals()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        for (int refusal = 0; refusal < 3; ++refusal) {
            fixture.answerLast(fixture.notRun(forward_reason::Full));
        }
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT(fixture.answers[0].retryAfter >= milliseconds(150));
        CPPUNIT_ASSERT(fixture.answers[0].retryAfter <= milliseconds(300));
    }

    // Guards against waiting at the first full server while another server is idle.
    void allowsQueueingOnlyAtTheLastServer()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        CPPUNIT_ASSERT(fixture.lastForward().mayUseAnotherServer);
        fixture.answerLast(fixture.notRun(forward_reason::Full));
        CPPUNIT_ASSERT(fixture.lastForward().mayUseAnotherServer);
        fixture.answerLast(fixture.notRun(forward_reason::Full));
        CPPUNIT_ASSERT(!fixture.lastForward().mayUseAnotherServer);
    }

    void allowsQueueingAtTheOnlyServer()
    {
        dispatcher_fixture fixture;
        fixture.subject.setView(fixture.view());
        fixture.subject.setHosts({fixture.hostWith("host-a", "a")}, fixture.now);
        fixture.begin("/order/1");
        CPPUNIT_ASSERT(!fixture.lastForward().mayUseAnotherServer);
    }

    // Guards against a caller that retries after its target has passed and takes the slot of a
    // request that can still be answered in time.
    void subtractsThePriorWaitFromTheTarget()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        for (int request = 0; request < 20; ++request) {
            fixture.begin("/order/1");
            fixture.answerLast(fixture.answered(200));
        }
        fixture.subject.begin(
            fixture.request("/order/1", milliseconds(1550)),
            [](const caller_answer &) {},
            fixture.now);
        CPPUNIT_ASSERT(fixture.lastForward().targetRemaining == milliseconds(-150));
    }

    void neverExceedsTheRoutesAttempts()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        fixture.answerLast(fixture.unknown());
        fixture.answerLast(fixture.unknown());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unknown);
    }

    void answersAtTheRoutesTimeout()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        for (int step = 0; step < 20; ++step) {
            // The node responds to probes, but its server does not answer.
            fixture.subject.noteReceived(fixture.forwards()[0].peer, fixture.now);
            fixture.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::TimedOut);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancels());
    }

    void cancelsWhenTheCallerDisconnects()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        const std::uint64_t number = fixture.begin("/order/1");
        fixture.subject.cancel(number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancels());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.subject.openRequests());
        CPPUNIT_ASSERT(fixture.answers.empty());
    }

    void splitsRequestsByWeight()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = fixture.view();
        view.policy.routes[0].parts
            = {{core::service_name{"stock"}, 90}, {core::service_name{"other"}, 10}};
        fleet::host_record other = fixture.hostWith("host-d", "a");
        other.servers[0].service.value = "other";
        fixture.subject.setView(view);
        fixture.subject.setHosts({fixture.hostWith("host-a", "a"), other}, fixture.now);
        std::map<std::string, int> counts;
        for (int request = 0; request < 100; ++request) {
            fixture.begin("/lookup/1");
            ++counts[fixture.forwards().back().peer.value];
            fixture.answerLast(fixture.answered(200));
        }
        CPPUNIT_ASSERT(counts["host-a:7000"] >= 89 && counts["host-a:7000"] <= 91);
        CPPUNIT_ASSERT_EQUAL(100, counts["host-a:7000"] + counts["host-d:7000"]);
    }

    void usesTheEstablishedVersion()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = fixture.view();
        view.versions[core::service_name{"stock"}].value = "v1";
        fixture.subject.setView(view);
        fixture.subject.setHosts(
            {fixture.hostWith("host-a", "a", "v1"), fixture.hostWith("host-b", "a", "v2")},
            fixture.now);
        for (int request = 0; request < 20; ++request) {
            fixture.begin("/lookup/1");
            CPPUNIT_ASSERT_EQUAL(std::string("host-a:7000"), fixture.forwards().back().peer.value);
            fixture.answerLast(fixture.answered(200));
        }
    }

    // Guards against a faulty version that gets every request until the leading source decides.
    void avoidsAFailingTargetBeforeTheSourceDecides()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = fixture.view();
        view.versions[core::service_name{"stock"}].value = "v1";
        policy::rollout running;
        running.id = 4;
        running.service.value = "stock";
        running.target.value = "v2";
        running.previous.value = "v1";
        running.share = policy::wholeShare;
        view.rollouts = {running};
        fixture.subject.setView(view);
        fixture.subject.setHosts(
            {fixture.hostWith("host-a", "a", "v1"), fixture.hostWith("host-b", "a", "v2")},
            fixture.now);
        std::map<std::string, int> counts;
        for (int request = 0; request < 20; ++request) {
            fixture.begin("/order/1");
            const std::string peer = fixture.forwards().back().peer.value;
            ++counts[peer];
            fixture.answerLast(fixture.answered(peer == "host-b:7000" ? 500 : 200));
        }
        CPPUNIT_ASSERT_EQUAL(4, counts["host-b:7000"]);
        CPPUNIT_ASSERT_EQUAL(16, counts["host-a:7000"]);
    }

    // Guards against sending requests to a rolled-back version once no server of the previous
    // version is left.
    void sendsNothingToARolledBackVersion()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = fixture.view();
        view.versions[core::service_name{"stock"}].value = "v1";
        policy::rollout ended;
        ended.service.value = "stock";
        ended.target.value = "v2";
        ended.previous.value = "v1";
        ended.phase = policy::rollout_phase::RolledBack;
        view.rollouts = {ended};
        fixture.subject.setView(view);
        fixture.subject.setHosts({fixture.hostWith("host-b", "a", "v2")}, fixture.now);
        fixture.begin("/lookup/1");
        CPPUNIT_ASSERT(fixture.forwards().empty());
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NotRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace jackdawweir::forwarding
