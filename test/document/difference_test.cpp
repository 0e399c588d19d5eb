#include "jackdawweir/document/difference.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "document/document_generator.h"
#include "support/property.h"

namespace jackdawweir::document {

namespace {

document_builder quotes(std::uint32_t oldPercent)
{
    return document_builder().addService(
        "quotes",
        {{core::version_name{"v1"}, oldPercent}, {core::version_name{"v2"}, 100 - oldPercent}});
}

} // namespace

class difference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(difference_test);
    CPPUNIT_TEST(listsEveryKindOfChange);
    CPPUNIT_TEST(isEmptyOnlyForEqualObjects);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a preview that omits a change of the submission.
    void listsEveryKindOfChange()
    {
        const document before
            = quotes(100).addService("orders", {{core::version_name{"v1"}, 100}}).build();
        const document after
            = quotes(90)
                  .addRoute(route_builder("lookup").pathPrefix("/q/").service("quotes").build())
                  .addMove("quotes", "v1", "v2", core::wall_time(std::chrono::hours(400'000)))
                  .build();
        CPPUNIT_ASSERT_EQUAL(
            std::string("- service orders: v1 100%\n"
                        "~ share quotes/v1: 100% -> 90%\n"
                        "~ share quotes/v2: 0% -> 10%\n"
                        "+ route lookup: /q/ to quotes, non-idempotent, urgency normal, weight 1, "
                        "deadline 1s\n"
                        "+ move quotes: v1 to v2 by 2015-08-19T16:00:00Z\n"),
            toText(differenceOf(before, after)));
    }

    // Guards against a field that the comparison ignores.
    void isEmptyOnlyForEqualObjects()
    {
        jackdawweir::test::checkProperty("the difference is empty only for equal objects", [] {
            document before = *test::anyDocument();
            document after = *rc::gen::oneOf(test::anyDocument(), rc::gen::just(before));
            const bool isEmpty = differenceOf(before, after).empty();
            // The generator sorts objects by name, so equal objects are in the same order.
            RC_ASSERT(isEmpty == (before == after));
            std::reverse(after.routes.begin(), after.routes.end());
            RC_ASSERT(differenceOf(before, after).empty() == isEmpty);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(difference_test);

} // namespace jackdawweir::document
