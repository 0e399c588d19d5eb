#include "jackdawweir/request/route_table.h"

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::request {

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(findsLongestPrefix);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that go to a route with a shorter prefix or with no matching prefix.
    void findsLongestPrefix()
    {
        test::checkProperty("the table agrees with a search of all routes", [] {
            const auto text = rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b'));
            const auto prefixes = *rc::gen::unique<std::vector<std::string>>(text);
            const std::string path = *text;
            document::configuration activeConfiguration;
            std::string expected = "none";
            std::size_t longest = 0;
            for (const std::string &each : prefixes) {
                activeConfiguration.routes.push_back(
                    document::route_builder(each).pathPrefix(each).build());
                if (path.starts_with(each) && (expected == "none" || each.size() > longest)) {
                    expected = each;
                    longest = each.size();
                }
            }
            const route_table table(activeConfiguration);
            const document::route *found = table.find(path);
            RC_ASSERT((found == nullptr ? "none" : found->pathPrefix) == expected);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace jackdawweir::request
