#include "jackdawweir/policy/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"

namespace jackdawweir::policy {

class policy_route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_route_table_test);
    CPPUNIT_TEST(findsTheLongestPrefixOfTheHost);
    CPPUNIT_TEST(findsOneOfThousandsOfRoutes);
    CPPUNIT_TEST(findsNoRouteForOtherHostsAndPaths);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsTheLongestPrefixOfTheHost()
    {
        const route_table table(samplePolicy(1));
        CPPUNIT_ASSERT_EQUAL(std::string("lookup"),
                             table.find("shop.example", "/stock/17?size=/stock/size/")->name.value);
        CPPUNIT_ASSERT_EQUAL(std::string("size"),
                             table.find("Shop.Example:8080", "/stock/size/2")->name.value);
    }

    void findsOneOfThousandsOfRoutes()
    {
        traffic_policy policy = samplePolicy(1);
        route added = policy.routes.front();
        for (int number = 0; number < 3000; ++number) {
            added.name.value = "added-" + std::to_string(number);
            added.pathPrefix = "/added/" + std::to_string(number) + "/";
            policy.routes.push_back(added);
        }
        const route_table table(policy);
        CPPUNIT_ASSERT_EQUAL(std::string("added-1234"),
                             table.find("shop.example", "/added/1234/a/b/c?d=/")->name.value);
        CPPUNIT_ASSERT(table.find("shop.example", "/added/3000/a") == nullptr);
    }

    void findsNoRouteForOtherHostsAndPaths()
    {
        const route_table table(samplePolicy(1));
        CPPUNIT_ASSERT(table.find("other.example", "/stock/1") == nullptr);
        CPPUNIT_ASSERT(table.find("shop.example", "/stock") == nullptr);
        CPPUNIT_ASSERT(table.find("shop.example", "/") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_route_table_test);

} // namespace jackdawweir::policy
