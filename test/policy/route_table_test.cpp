#include "jackdawweir/policy/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"

namespace jackdawweir::policy {

class policy_route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_route_table_test);
    CPPUNIT_TEST(findsTheLongestPrefixOfTheHost);
    CPPUNIT_TEST(findsNothingElsewhere);
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

    void findsNothingElsewhere()
    {
        const route_table table(samplePolicy(1));
        CPPUNIT_ASSERT(table.find("other.example", "/stock/1") == nullptr);
        CPPUNIT_ASSERT(table.find("shop.example", "/stock") == nullptr);
        CPPUNIT_ASSERT(table.find("shop.example", "/") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_route_table_test);

} // namespace jackdawweir::policy
