#include "jackdawweir/forwarding/workspace_shares.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class workspace_shares_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workspace_shares_test);
    CPPUNIT_TEST(findsAWorkspaceAloneWithinItsShare);
    CPPUNIT_TEST(findsAWorkspaceOfManyTimesItsShareAboveIt);
    CPPUNIT_TEST(permitsMoreToALargerWeight);
    CPPUNIT_TEST(neverCountsOneRequestAsAboveTheShare);
    CPPUNIT_TEST(forgetsOldWork);
    CPPUNIT_TEST(holdsOnlyTheWorkspacesOfRecentRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    static weighted_workspace workspace(const std::string &name, double weight = 1)
    {
        return weighted_workspace{policy::workspace_name{name}, weight};
    }

    // Charges the workspace for `requests` runs of 100 ms.
    static void charge(workspace_shares &shares, const weighted_workspace &user, int requests)
    {
        for (int each = 0; each < requests; ++each) {
            shares.charge(user, runTime, start);
        }
    }

    static std::uint32_t excessOf(const workspace_shares &shares, const weighted_workspace &user)
    {
        return shares.excessOf(user, runTime, start);
    }

    void findsAWorkspaceAloneWithinItsShare()
    {
        workspace_shares shares{{}};
        charge(shares, workspace("north"), 100);
        CPPUNIT_ASSERT_EQUAL(0U, excessOf(shares, workspace("north")));
        CPPUNIT_ASSERT_EQUAL(0U, excessOf(shares, weighted_workspace{}));
    }

    void findsAWorkspaceOfManyTimesItsShareAboveIt()
    {
        workspace_shares shares{{}};
        for (int each = 0; each < 10; ++each) {
            charge(shares, workspace("small-" + std::to_string(each)), 3);
        }
        charge(shares, workspace("north"), 30);
        CPPUNIT_ASSERT(excessOf(shares, workspace("north")) > 1);
        CPPUNIT_ASSERT_EQUAL(0U, excessOf(shares, workspace("small-0")));
    }

    void permitsMoreToALargerWeight()
    {
        workspace_shares shares{{}};
        for (int each = 0; each < 10; ++each) {
            charge(shares, workspace("small-" + std::to_string(each)), 3);
        }
        charge(shares, workspace("north", 10), 30);
        CPPUNIT_ASSERT_EQUAL(0U, excessOf(shares, workspace("north", 10)));
    }

    // Guards against small workspaces that are refused after their first request, since few of
    // theirs reach each server.
    void neverCountsOneRequestAsAboveTheShare()
    {
        workspace_shares shares{{}};
        charge(shares, workspace("large", 1'000), 50);
        charge(shares, workspace("small", 1), 1);
        CPPUNIT_ASSERT_EQUAL(0U, excessOf(shares, workspace("small", 1)));
    }

    void forgetsOldWork()
    {
        workspace_shares shares{{}};
        charge(shares, workspace("north"), 30);
        charge(shares, workspace("south"), 1);
        CPPUNIT_ASSERT(excessOf(shares, workspace("north")) > 0);
        CPPUNIT_ASSERT_EQUAL(
            0U, shares.excessOf(workspace("north"), runTime, start + std::chrono::seconds(10)));
    }

    // Guards against state for each of 5,000 workspaces beside each server.
    void holdsOnlyTheWorkspacesOfRecentRequests()
    {
        workspace_shares shares{{}};
        constexpr int workspaces = 5'000;
        core::monotonic_time now = start;
        std::size_t largest = 0;
        for (int request = 0; request < 3 * workspaces; ++request) {
            shares.charge(workspace(std::to_string(request % workspaces)), runTime, now);
            largest = std::max(largest, shares.size());
            now += milliseconds(20);
        }
        // Fifty requests a second that are held for 10 to 12 s.
        CPPUNIT_ASSERT(largest <= 600);
    }

private:
    static constexpr core::monotonic_time start{std::chrono::seconds(100)};
    static constexpr milliseconds runTime{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_shares_test);

} // namespace jackdawweir::forwarding
