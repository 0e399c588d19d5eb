#include "jackdawweir/core/config_version.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::core {

class config_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_version_test);
    CPPUNIT_TEST(formatsAndParsesBack);
    CPPUNIT_TEST(ordersByEpochBeforeNumber);
    CPPUNIT_TEST(rejectsMalformedText);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an --expect value that is parsed as another version than the one printed.
    void formatsAndParsesBack()
    {
        const config_version version{3, 17, digestOf("document")};
        const result<config_version> parsed = parseConfigVersion(toString(version));
        CPPUNIT_ASSERT(isOk(parsed));
        CPPUNIT_ASSERT(version == valueIn(parsed));
    }

    // Guards against treating a version of a deposed leader as newer because its number is
    // greater.
    void ordersByEpochBeforeNumber()
    {
        const config_version deposed{2, 9, digestOf("a")};
        const config_version current{3, 8, digestOf("b")};
        CPPUNIT_ASSERT(deposed < current);
    }

    // Guards against a truncated version that is parsed as an older one.
    void rejectsMalformedText()
    {
        for (const char *text :
             {"", "3", "3.17", "3.17-abc", "x.17-00000000000000000000000000000000"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !isOk(parseConfigVersion(text)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_version_test);

} // namespace jackdawweir::core
