#include "jackdawweir/policy/view_delta.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"
#include "support/property.h"

namespace jackdawweir::policy {

class view_delta_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(view_delta_test);
    CPPUNIT_TEST(appliesADeltaBetweenAnyTwoViews);
    CPPUNIT_TEST(refusesAnotherBase);
    CPPUNIT_TEST(refusesAResultWithAnotherDigest);
    CPPUNIT_TEST(encodesAWholeViewAndADelta);
    CPPUNIT_TEST(compressesThousandsOfRoutesForASlowLink);
    CPPUNIT_TEST(refusesBytesThatAreNoChange);
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
            workspace holder;
            holder.name.value = "workspace-" + std::to_string(each % 10);
            holder.apiKeys = {"key-" + std::to_string(each)};
            made.policy.workspaces.push_back(holder);
            if (each % 7 == 0) {
                made.evacuated.insert(core::data_centre_name{"centre-" + std::to_string(each)});
            }
        }
        return forNodes(made);
    }

    void appliesADeltaBetweenAnyTwoViews()
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

    // Guards against a node that activates a policy that no operator sent.
    void refusesAResultWithAnotherDigest()
    {
        view_delta delta = makeDelta(viewOf(4, {1}), viewOf(5, {2}));
        delta.changedRoutes.clear();
        CPPUNIT_ASSERT(!core::isOk(applyDelta(viewOf(4, {1}), delta)));
    }

    void encodesAWholeViewAndADelta()
    {
        const policy_view from = viewOf(4, {1, 2});
        const policy_view to = viewOf(5, {2, 3});
        for (const view_change &sent : {view_change(to), view_change(makeDelta(from, to))}) {
            const auto received = decodeViewChange(encodeViewChange(sent), m_source);
            CPPUNIT_ASSERT(core::isOk(received));
            const auto applied = applyChange(from, core::valueIn(received));
            CPPUNIT_ASSERT(core::isOk(applied));
            CPPUNIT_ASSERT(digestOf(core::valueIn(applied)) == digestOf(to));
        }
    }

    // Guards against a change of many routes that saturates the links of all nodes for a second
    // while callers wait.
    void compressesThousandsOfRoutesForASlowLink()
    {
        policy_view to = viewOf(5, {});
        for (int number = 0; number < 2000; ++number) {
            const std::string name = "route-" + std::to_string(number);
            to.policy.routes.push_back(sampleRoute(name, "/" + name + "/"));
        }
        const std::string sent = encodeViewChange(makeDelta(viewOf(4, {}), forNodes(to)));
        // A tenth of a second at 2 Mbit/s.
        constexpr std::size_t maxBytes = 25'000;
        CPPUNIT_ASSERT(sent.size() < maxBytes);
    }

    void refusesBytesThatAreNoChange()
    {
        CPPUNIT_ASSERT(!core::isOk(decodeViewChange("not compressed", m_source)));
    }

private:
    const core::endpoint m_source{"10.0.0.1:7000"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(view_delta_test);

} // namespace jackdawweir::policy
