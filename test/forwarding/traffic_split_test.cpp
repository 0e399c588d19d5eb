// Tests that the requests of a route are split by its weights while views change often.

#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

class traffic_split_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(traffic_split_test);
    CPPUNIT_TEST(keepsTheWeightsWhileEachRequestComesWithANewView);
    CPPUNIT_TEST(followsNewWeights);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of small weight that gets no requests because each view restarts the
    // split.
    void keepsTheWeightsWhileEachRequestComesWithANewView()
    {
        constexpr int requests = 400;
        split_fixture fixture;
        for (int count = 0; count < requests; ++count) {
            fixture.setParts(0.7, 0.3);
            fixture.dispatch();
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, fixture.shareOfSecond(), 0.01);
    }

    // Guards against a split that keeps the weights of an earlier policy.
    void followsNewWeights()
    {
        constexpr int requests = 100;
        split_fixture fixture;
        fixture.setParts(1, 0);
        fixture.dispatch();
        fixture.setParts(0, 1);
        fixture.forget();
        for (int count = 0; count < requests; ++count) {
            fixture.dispatch();
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fixture.shareOfSecond(), 0.001);
    }

private:
    // A route that is split between "stock" on host-a and "desk" on host-b.
    struct split_fixture : dispatcher_fixture {
        split_fixture()
        {
            fleet::host_record desk = hostWith("host-b", "a");
            desk.servers[0].service.value = "desk";
            subject.setHosts({hostWith("host-a", "a"), desk}, now);
        }

        // Puts a newer view into force, with these weights.
        void setParts(double stock, double desk)
        {
            policy::policy_view made = view();
            made.revision = ++revision;
            made.policy.routes[0].parts
                = {{core::service_name{"stock"}, stock}, {core::service_name{"desk"}, desk}};
            subject.setView(made);
        }

        void dispatch()
        {
            begin("/lookup/1");
            ++requestsAt[forwards().back().peer.value];
            answerLast(answered(200));
            sent.clear();
        }

        void forget()
        {
            requestsAt.clear();
        }

        double shareOfSecond()
        {
            const double all = requestsAt["host-a:7000"] + requestsAt["host-b:7000"];
            return requestsAt["host-b:7000"] / all;
        }

        std::uint64_t revision = 10;
        std::map<std::string, double> requestsAt;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_split_test);

} // namespace jackdawweir::forwarding
