// Tests what a dispatcher does with answers that are not meant for its own requests.

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

class dispatcher_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_restart_test);
    CPPUNIT_TEST(answersNoCallerWithTheAnswerToARequestOfAnEarlierStart);
    CPPUNIT_TEST(answersNoCallerWithTheAnswerOfAnotherNode);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that gets the answer to another caller's request.
    void answersNoCallerWithTheAnswerToARequestOfAnEarlierStart()
    {
        dispatcher_fixture earlier(1);
        earlier.serve();
        earlier.begin("/order/1");
        dispatcher_fixture later(2);
        later.serve();
        later.begin("/order/2");

        forward_answer answer = dispatcher_fixture::answered(200);
        answer.number = earlier.lastForward().number;
        later.subject.handle(later.forwards().back().peer, answer, later.now);
        CPPUNIT_ASSERT(later.answers.empty());
        later.answerLast(dispatcher_fixture::answered(201));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, later.answers.size());
        CPPUNIT_ASSERT_EQUAL(201U, later.answers[0].response.status);
    }

    // Guards against an answer that is taken from a node which never got the request.
    void answersNoCallerWithTheAnswerOfAnotherNode()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/order/1");
        forward_answer answer = dispatcher_fixture::answered(200);
        answer.number = fixture.lastForward().number;
        fixture.subject.handle(core::endpoint{"host-z:7000"}, answer, fixture.now);
        CPPUNIT_ASSERT(fixture.answers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_restart_test);

} // namespace jackdawweir::forwarding
