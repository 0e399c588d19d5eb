// Tests how a dispatcher treats requests whose runs call a full service, and the calls themselves.

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class dispatcher_calls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_calls_test);
    CPPUNIT_TEST(refusesRequestsWhoseRunsCallAFullService);
    CPPUNIT_TEST(doesNotRepeatARunWhoseCallsAreRefused);
    CPPUNIT_TEST(marksTheCallsOfRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    static forward_answer withRefusedCalls(forward_answer answer, std::uint32_t refusedPerMille)
    {
        answer.load.downstream
            = {downstream_load{core::service_name{"prices"}, 1'400, refusedPerMille}};
        return answer;
    }

    // Lets requests end for two seconds while their calls are refused.
    static void fillCalledService(dispatcher_fixture &fixture)
    {
        for (int index = 0; index < 100; ++index) {
            const std::size_t sent = fixture.forwards().size();
            fixture.begin("/lookup/1");
            if (fixture.forwards().size() > sent) {
                fixture.answerLast(withRefusedCalls(dispatcher_fixture::answered(200), 900));
            }
            fixture.advance(milliseconds(20));
        }
    }

    // Guards against runs that begin although the service behind them has no room.
    void refusesRequestsWhoseRunsCallAFullService()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fillCalledService(fixture);
        fixture.answers.clear();
        const std::size_t before = fixture.forwards().size();
        for (int index = 0; index < 100; ++index) {
            fixture.begin("/lookup/1");
        }
        CPPUNIT_ASSERT(fixture.forwards().size() < before + 30);
        const caller_answer &refused = fixture.answers.front();
        CPPUNIT_ASSERT(refused.outcome == caller_outcome::NotRun);
        CPPUNIT_ASSERT(refused.reason == forward_reason::CalledServiceFull);
        CPPUNIT_ASSERT_EQUAL(std::string("prices"), refused.fullService.value);
        CPPUNIT_ASSERT(refused.retryAfter >= milliseconds(150));
        // The other route makes no calls.
        fixture.begin("/order/1");
        CPPUNIT_ASSERT_EQUAL(std::string("order"), fixture.lastForward().route.value);
    }

    // Guards against repeats, each of which makes its calls to the full service again.
    void doesNotRepeatARunWhoseCallsAreRefused()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        fixture.answerLast(withRefusedCalls(dispatcher_fixture::answered(500), 900));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.forwards().size());
        CPPUNIT_ASSERT_EQUAL(500U, fixture.answers.at(0).response.status);
    }

    // Guards against calls that wait behind new requests at a full server.
    void marksTheCallsOfRuns()
    {
        dispatcher_settings settings = dispatcher_fixture::settings();
        std::vector<forward_request> sent;
        dispatcher subject(settings,
                           dispatcher_hooks{[&sent](const core::endpoint &, const message &body) {
                                                sent.push_back(std::get<forward_request>(body));
                                                return true;
                                            },
                                            [](const core::endpoint &) {},
                                            [](const core::endpoint &, reachability_change) {
                                            }},
                           core::random_engine(1));
        const core::monotonic_time now{std::chrono::seconds(100)};
        subject.setView(dispatcher_fixture::view());
        subject.setHosts({dispatcher_fixture::hostWith("host-a", "a")}, now);
        settings.calls->beginRun(1, core::route_name{"order"}, now + milliseconds(1'200), now);
        for (int index = 0; index < 10; ++index) {
            subject.begin(
                dispatcher_fixture::request("/lookup/1", milliseconds(1'199)),
                [](const caller_answer &) {},
                now);
            subject.begin(
                dispatcher_fixture::request("/order/1"), [](const caller_answer &) {}, now);
        }
        CPPUNIT_ASSERT(!sent.at(0).isCallOfRun);
        CPPUNIT_ASSERT(sent.at(18).isCallOfRun);
        CPPUNIT_ASSERT(!sent.at(19).isCallOfRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_calls_test);

} // namespace jackdawweir::forwarding
