#include "jackdawweir/policy/view_delta.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"
#include "support/property.h"

namespace jackdawweir::policy {

class view_delta_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(view_delta_test);
    CPPUNIT_TEST(leadsFromAnyViewToAnyOther);
    CPPUNIT_TEST(refusesAnotherBase);
    CPPUNIT_TEST(refusesAnotherResult);
    CPPUNIT_TEST_SUITE_END();

public:
    static policy_view viewOf(std::uint64_t revision, const std::vector<int> &routes)
    {
        policy_view made;
        made.revision = revision;
        made.policy = samplePolicy(revision);
        made.policy.routes.clear();
        for (const int each : routes) {
            route added = sampleRoute("route-" + std::to_string(each % 20), "/stock/");
            added.rank = static_cast<std::uint32_t>(each / 20);
            made.policy.routes.push_back(added);
        }
        return forNodes(made);
    }

    void leadsFromAnyViewToAnyOther()
    {
        test::checkProperty("a delta applied to its base gives the other view", [] {
            const auto routes = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
            const policy_view from = viewOf(4, *routes);
            const policy_view to = viewOf(9, *routes);
            const core::result<policy_view> applied = applyDelta(from, makeDelta(from, to));
            RC_ASSERT(core::isOk(applied));
            RC_ASSERT(digestOf(core::valueIn(applied)) == digestOf(to));
        });
    }

    void refusesAnotherBase()
    {
        const view_delta delta = makeDelta(viewOf(4, {1}), viewOf(5, {2}));
        CPPUNIT_ASSERT(!core::isOk(applyDelta(viewOf(3, {1}), delta)));
    }

    // Guards against a node that runs a policy no operator sent.
    void refusesAnotherResult()
    {
        view_delta delta = makeDelta(viewOf(4, {1}), viewOf(5, {2}));
        delta.changedRoutes.clear();
        CPPUNIT_ASSERT(!core::isOk(applyDelta(viewOf(4, {1}), delta)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(view_delta_test);

} // namespace jackdawweir::policy
