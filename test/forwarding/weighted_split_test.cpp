#include "jackdawweir/forwarding/weighted_split.h"

#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

class weighted_split_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(weighted_split_test);
    CPPUNIT_TEST(keepsTheWeightsOverManyRequests);
    CPPUNIT_TEST(choosesNoPartWithoutWeight);
    CPPUNIT_TEST(keepsTheWeightsInTotalOverNodesWithOneRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsTheWeightsOverManyRequests()
    {
        constexpr int requests = 1000;
        core::random_engine engine(1);
        weighted_split subject(parts({0.5, 0.3, 0.2}), engine);
        std::map<std::string, int> counts;
        for (int count = 0; count < requests; ++count) {
            ++counts[subject.next().value];
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, counts["service-0"], 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300, counts["service-1"], 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, counts["service-2"], 2);
    }

    // Guards against requests at a service that the operator has taken out of the split.
    void choosesNoPartWithoutWeight()
    {
        core::random_engine engine(1);
        weighted_split subject(parts({0, 1, 0}), engine);
        for (int count = 0; count < 100; ++count) {
            CPPUNIT_ASSERT_EQUAL(std::string("service-1"), subject.next().value);
        }
    }

    // Guards against a part of small weight that gets no requests from nodes with few requests.
    void keepsTheWeightsInTotalOverNodesWithOneRequest()
    {
        constexpr int nodes = 2000;
        int atSecond = 0;
        for (int node = 0; node < nodes; ++node) {
            core::random_engine engine(node);
            weighted_split subject(parts({70, 30}), engine);
            atSecond += subject.next().value == "service-1" ? 1 : 0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, static_cast<double>(atSecond) / nodes, 0.05);
    }

private:
    static std::vector<policy::traffic_part> parts(const std::vector<double> &weights)
    {
        std::vector<policy::traffic_part> made;
        for (const double weight : weights) {
            const core::service_name service{"service-" + std::to_string(made.size())};
            made.push_back(policy::traffic_part{service, weight});
        }
        return made;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(weighted_split_test);

} // namespace jackdawweir::forwarding
