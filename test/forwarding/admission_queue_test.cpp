#include "jackdawweir/forwarding/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class admission_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_queue_test);
    CPPUNIT_TEST(startsAsManyRequestsAsThereAreSlots);
    CPPUNIT_TEST(refusesRequestsThatCannotBeAnsweredInTime);
    CPPUNIT_TEST(runsTheEarliestTargetFirst);
    CPPUNIT_TEST(runsRequestsThatMissTheirTargetLast);
    CPPUNIT_TEST(refusesRequestsThatWaitedTooLong);
    CPPUNIT_TEST(refusesARequestThatAnotherServerCanTake);
    CPPUNIT_TEST(queuesASharedRequestThatMeetsItsTargetHere);
    CPPUNIT_TEST(queuesAShortRequestBehindLongOnes);
    CPPUNIT_TEST(startsAShortRequestBeforeManyLongOnes);
    CPPUNIT_TEST(tracksTheMeanRunTimeAndTheFailureRate);
    CPPUNIT_TEST(startsWaitingRequestsWhenTheLimitPermits);
    CPPUNIT_TEST(refusesWithTheTimeOfTheNextPermit);
    CPPUNIT_TEST(refusesARequestBeyondTheLimitThatAnotherServerCanTake);
    CPPUNIT_TEST_SUITE_END();

public:
    static admission_queue_settings settings(std::uint32_t slots)
    {
        admission_queue_settings used;
        used.slots = slots;
        return used;
    }

    static admission_queue_request
    request(std::uint64_t number, int targetMillis, int deadlineMillis)
    {
        admission_queue_request made;
        made.number = number;
        made.route.value = "route";
        made.target = start + milliseconds(targetMillis);
        made.deadline = start + milliseconds(deadlineMillis);
        return made;
    }

    static void teachRunTime(admission_queue &subject,
                             milliseconds runTime,
                             core::monotonic_time now,
                             std::uint64_t number)
    {
        subject.arrive(request(number, 10'000, 10'000), now);
        subject.finish(number, runTime, false, now);
    }

    void startsAsManyRequestsAsThereAreSlots()
    {
        admission_queue queue(settings(2));
        CPPUNIT_ASSERT(queue.arrive(request(1, 300, 1000), start).verdict
                       == admission_queue_verdict::Start);
        CPPUNIT_ASSERT(queue.arrive(request(2, 300, 1000), start).verdict
                       == admission_queue_verdict::Start);
        CPPUNIT_ASSERT(queue.arrive(request(3, 300, 1000), start).verdict
                       == admission_queue_verdict::Wait);
        const auto next = queue.finish(1, milliseconds(10), false, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(next[0].number == 3 && next[0].starts);
        CPPUNIT_ASSERT_EQUAL(2U, queue.load({}).running);
    }

    // Guards against queueing requests that will miss their deadline anyway.
    void refusesRequestsThatCannotBeAnsweredInTime()
    {
        admission_queue queue(settings(1));
        teachRunTime(queue, milliseconds(200), start, 1);
        queue.arrive(request(2, 300, 500), start);
        int refused = 0;
        for (std::uint64_t number = 3; number < 10; ++number) {
            const admission_queue_decision decision
                = queue.arrive(request(number, 300, 500), start);
            if (decision.verdict == admission_queue_verdict::Refuse) {
                ++refused;
                CPPUNIT_ASSERT(decision.retryAfter > microseconds(0));
            }
        }
        // With one slot and 200 ms for each request, no further one can end within its target.
        CPPUNIT_ASSERT_EQUAL(7, refused);
    }

    void runsTheEarliestTargetFirst()
    {
        admission_queue queue(settings(1));
        queue.arrive(request(1, 500, 2000), start);
        queue.arrive(request(2, 900, 2000), start);
        queue.arrive(request(3, 400, 2000), start);
        const auto next = queue.release(1, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, next.at(0).number);
    }

    // Guards against requests whose target has passed delaying those that can still meet theirs.
    void runsRequestsThatMissTheirTargetLast()
    {
        admission_queue queue(settings(1));
        queue.arrive(request(1, 500, 2000), start);
        queue.arrive(request(2, 100, 2000), start);
        queue.arrive(request(3, 900, 2000), start);
        const auto next = queue.release(1, start + milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, next.at(0).number);
    }

    void refusesRequestsThatWaitedTooLong()
    {
        admission_queue queue(settings(1));
        queue.arrive(request(1, 300, 1000), start);
        queue.arrive(request(2, 300, 1000), start);
        CPPUNIT_ASSERT(queue.expire(start + milliseconds(390)).empty());
        const auto late = queue.expire(start + milliseconds(410));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
        CPPUNIT_ASSERT(late[0].number == 2 && !late[0].starts);
        CPPUNIT_ASSERT_EQUAL(0U, queue.load({}).waiting);
    }

    // Guards against an idle server whose waiting requests nothing starts.
    void startsWaitingRequestsWhenTheLimitPermits()
    {
        admission_queue queue(settings(4));
        queue.setRate(10, start);
        for (std::uint64_t number = 1; number <= 2; ++number) {
            CPPUNIT_ASSERT(queue.arrive(request(number, 900, 2000), start).verdict
                           == admission_queue_verdict::Wait);
        }
        CPPUNIT_ASSERT(queue.startWaiting(start + milliseconds(99)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.startWaiting(start + milliseconds(100)).size());
        CPPUNIT_ASSERT(queue.startWaiting(start + milliseconds(199)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.startWaiting(start + milliseconds(200)).size());
        CPPUNIT_ASSERT_EQUAL(2U, queue.load({}).running);
    }

    // Guards against callers that come back before the server takes a request, or long after.
    void refusesWithTheTimeOfTheNextPermit()
    {
        admission_queue queue(settings(4));
        queue.setRate(0.5, start);
        const admission_queue_decision refused = queue.arrive(request(1, 300, 1000), start);
        CPPUNIT_ASSERT(refused.verdict == admission_queue_verdict::Refuse);
        CPPUNIT_ASSERT(refused.retryAfter >= milliseconds(1999));
        CPPUNIT_ASSERT(refused.retryAfter <= milliseconds(2001));
        CPPUNIT_ASSERT(queue.arrive(request(1, 3000, 4000), start + refused.retryAfter).verdict
                       == admission_queue_verdict::Start);
    }

    // Guards against a request that waits for the limit while another server is idle.
    void refusesARequestBeyondTheLimitThatAnotherServerCanTake()
    {
        admission_queue queue(settings(4));
        queue.setRate(2, start);
        admission_queue_request shared = request(1, 300, 2000);
        shared.mayUseAnotherServer = true;
        CPPUNIT_ASSERT(queue.arrive(shared, start).verdict == admission_queue_verdict::Refuse);
    }

    // Guards against a request that waits at a full server while another server is idle.
    void refusesARequestThatAnotherServerCanTake()
    {
        admission_queue queue(settings(1));
        teachRunTime(queue, milliseconds(200), start, 1);
        queue.arrive(request(2, 500, 2000), start);
        admission_queue_request shared = request(3, 500, 2000);
        shared.mayUseAnotherServer = true;
        CPPUNIT_ASSERT(queue.arrive(shared, start).verdict == admission_queue_verdict::Refuse);
        CPPUNIT_ASSERT(queue.arrive(request(3, 500, 2000), start).verdict
                       == admission_queue_verdict::Wait);
    }

    // Guards against asking further servers, whose nodes then get the request and its body,
    // although this one answers well within the target.
    void queuesASharedRequestThatMeetsItsTargetHere()
    {
        admission_queue queue(settings(2));
        teachRunTime(queue, milliseconds(80), start, 1);
        queue.arrive(request(2, 500, 2000), start);
        queue.arrive(request(3, 500, 2000), start);
        admission_queue_request shared = request(4, 300, 2000);
        shared.mayUseAnotherServer = true;
        CPPUNIT_ASSERT(queue.arrive(shared, start).verdict == admission_queue_verdict::Wait);
    }

    // Guards against refusing short calls from other servers while long requests hold all slots:
    // with many slots the next one is free soon. Each such refusal fails the request that made the
    // call, which is more important than the long ones.
    void queuesAShortRequestBehindLongOnes()
    {
        admission_queue queue(settings(12));
        admission_queue_request longOne = request(1, 1000, 6000);
        longOne.route.value = "long";
        for (std::uint64_t number = 1; number <= 30; ++number) {
            longOne.number = number;
            queue.arrive(longOne, start);
            queue.finish(number, milliseconds(360), false, start);
        }
        for (std::uint64_t number = 101; number <= 130; ++number) {
            longOne.number = number;
            queue.arrive(longOne, start);
        }
        CPPUNIT_ASSERT_EQUAL(12U, queue.load({}).running);
        CPPUNIT_ASSERT(queue.arrive(request(200, 100, 250), start).verdict
                       == admission_queue_verdict::Wait);
        const auto next = queue.finish(101, milliseconds(360), false, start + milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, next.at(0).number);
    }

    // Guards against many long requests that delay short calls from other servers. Running the
    // latest target first failed half of the requests that made such calls.
    void startsAShortRequestBeforeManyLongOnes()
    {
        admission_queue queue(settings(2));
        for (std::uint64_t number = 1; number <= 20; ++number) {
            queue.arrive(request(number, 1000, 6000), start);
        }
        CPPUNIT_ASSERT(queue.arrive(request(200, 100, 250), start).verdict
                       == admission_queue_verdict::Wait);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, queue.release(1, start).at(0).number);
    }

    void tracksTheMeanRunTimeAndTheFailureRate()
    {
        admission_queue queue(settings(1));
        for (std::uint64_t number = 1; number <= 50; ++number) {
            teachRunTime(queue, milliseconds(80), start, number);
        }
        CPPUNIT_ASSERT(queue.load({}).meanRunTime > milliseconds(75));
        CPPUNIT_ASSERT(queue.load({}).meanRunTime < milliseconds(85));
        CPPUNIT_ASSERT_EQUAL(0U, queue.load({}).failuresPerMille);
        queue.arrive(request(100, 300, 1000), start);
        queue.finish(100, milliseconds(1), true, start);
        CPPUNIT_ASSERT(queue.load({}).failuresPerMille > 0);
        CPPUNIT_ASSERT(queue.load({}).meanRunTime > milliseconds(75));
    }

private:
    static constexpr core::monotonic_time start{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_queue_test);

} // namespace jackdawweir::forwarding
