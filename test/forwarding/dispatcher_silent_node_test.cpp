// Tests what a dispatcher does with requests at a node that sends nothing.

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class dispatcher_silent_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_silent_node_test);
    CPPUNIT_TEST(retriesIdempotentRequestsOfASilentNode);
    CPPUNIT_TEST(waitsForASilentNodeWithANonIdempotentRequest);
    CPPUNIT_TEST(waitsForASilentNodeIfNoOtherServerTakesTheRequest);
    CPPUNIT_TEST(usesTheAnswerOfASilentNodeIfItArrivesFirst);
    CPPUNIT_TEST(cancelsAtASilentNodeOnceAnotherNodeAnswers);
    CPPUNIT_TEST(continuesAtTheOtherNodeWhenTheLinkToASilentNodeIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that wait for an unresponsive node until their deadline.
    void retriesIdempotentRequestsOfASilentNode()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        for (int step = 0; step < 14; ++step) {
            fixture.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
        CPPUNIT_ASSERT(fixture.forwards()[0].peer != fixture.forwards()[1].peer);
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
    }

    // Guards against abandoning a request that a slow node still runs because all others are full.
    void waitsForASilentNodeIfNoOtherServerTakesTheRequest()
    {
        dispatcher_fixture fixture;
        retryFromASilentNode(fixture);
        while (fixture.answers.empty() && fixture.forwards().size() < 3) {
            fixture.answerLast(fixture.notRun(forward_reason::Full));
        }
        fixture.answerLast(fixture.notRun(forward_reason::Full));
        CPPUNIT_ASSERT(fixture.answers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.cancels());
        answerFirst(fixture, fixture.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
        CPPUNIT_ASSERT(fixture.answers[0].outcome == caller_outcome::Answered);
    }

    void usesTheAnswerOfASilentNodeIfItArrivesFirst()
    {
        dispatcher_fixture fixture;
        retryFromASilentNode(fixture);
        answerFirst(fixture, fixture.answered(200));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancels());
        CPPUNIT_ASSERT(fixture.sent.back().peer == fixture.forwards().back().peer);
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.subject.openRequests());
    }

    void cancelsAtASilentNodeOnceAnotherNodeAnswers()
    {
        dispatcher_fixture fixture;
        retryFromASilentNode(fixture);
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.cancels());
        CPPUNIT_ASSERT(fixture.sent.back().peer == fixture.forwards().front().peer);
        answerFirst(fixture, fixture.answered(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
    }

    void continuesAtTheOtherNodeWhenTheLinkToASilentNodeIsLost()
    {
        dispatcher_fixture fixture;
        retryFromASilentNode(fixture);
        fixture.subject.linkLost(fixture.forwards().front().peer, true, fixture.now);
        CPPUNIT_ASSERT(fixture.answers.empty());
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.cancels());
    }

    void waitsForASilentNodeWithANonIdempotentRequest()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        for (int step = 0; step < 14; ++step) {
            fixture.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
        fixture.answerLast(fixture.answered(200));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Answered);
    }

private:
    // Begins an idempotent request and lets its node send nothing until another node gets the
    // request.
    static void retryFromASilentNode(dispatcher_fixture &fixture)
    {
        fixture.serve();
        fixture.begin("/lookup/1");
        for (int step = 0; step < 10; ++step) {
            fixture.advance(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
    }

    static void answerFirst(dispatcher_fixture &fixture, forward_answer answer)
    {
        const sent_message first = fixture.forwards().front();
        answer.number = dispatcher_fixture::numberOf(first);
        answer.load.slots = 4;
        fixture.subject.handle(first.peer, std::move(answer), fixture.now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_silent_node_test);

} // namespace jackdawweir::forwarding
