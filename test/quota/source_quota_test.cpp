#include "jackdawweir/quota/source_quota.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::quota {

using std::chrono::milliseconds;
using std::chrono::seconds;

class source_quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_quota_test);
    CPPUNIT_TEST(statesNoShareBelowTheQuota);
    CPPUNIT_TEST(statesAShareOnceTheBucketIsEmpty);
    CPPUNIT_TEST(countsTheRequestsOfOtherSources);
    CPPUNIT_TEST(doesNotReplyRightAfterItsStart);
    CPPUNIT_TEST(keepsToThePartOfTheNodesThatAreHeard);
    CPPUNIT_TEST(leavesOutSmallUsageOfALargeWorkspace);
    CPPUNIT_TEST(reportsLimitedWorkspacesOnce);
    CPPUNIT_TEST(slowsDownTheReportsOfManyNodes);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr core::monotonic_time start{seconds(100)};
    static constexpr milliseconds interval{100};
    const core::endpoint node{"10.0.0.1:7000"};
    const core::endpoint otherSource{"10.0.1.1:7000"};

    static source_quota quotaOf(double requestsPerSecond, double burst)
    {
        policy::workspace workspace;
        workspace.name.value = "bakery";
        workspace.requestsPerSecond = requestsPerSecond;
        workspace.burst = burst;
        source_quota made{quota_settings()};
        made.setWorkspaces({workspace}, start);
        return made;
    }

    static workspace_usage usageOf(std::int64_t requests)
    {
        return workspace_usage{
            idOf(policy::workspace_name{"bakery"}), requests, static_cast<std::uint64_t>(requests)};
    }

    // Lets one node report so many requests at each interval for a while, and returns the reply.
    quota_notice reportFor(source_quota &subject,
                           std::int64_t requests,
                           milliseconds time,
                           core::monotonic_time from,
                           std::uint32_t knownNodes = 1) const
    {
        std::optional<quota_notice> notice;
        for (core::monotonic_time now = from; now < from + time; now += interval) {
            subject.takeExchange(now);
            notice = subject.handle(node, usage_report{knownNodes, {usageOf(requests)}}, now);
        }
        CPPUNIT_ASSERT(notice.has_value());
        return *notice;
    }

    // Guards against refusals of a workspace that uses nine tenths of its quota.
    void statesNoShareBelowTheQuota()
    {
        source_quota subject = quotaOf(100, 100);
        CPPUNIT_ASSERT(reportFor(subject, 9, seconds(10), start).limited.empty());
    }

    void statesAShareOnceTheBucketIsEmpty()
    {
        source_quota subject = quotaOf(100, 100);
        const quota_notice notice = reportFor(subject, 40, seconds(3), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.limited.size());
        CPPUNIT_ASSERT(notice.limited[0].share < wholeAdmission / 4);
    }

    // Guards against a quota for each source.
    void countsTheRequestsOfOtherSources()
    {
        source_quota subject = quotaOf(100, 100);
        reportFor(subject, 1, seconds(2), start);
        const core::monotonic_time later = start + seconds(2);
        subject.handle(otherSource, usage_exchange{1, {usageOf(300)}}, later);
        CPPUNIT_ASSERT(!reportFor(subject, 1, interval, later).limited.empty());
    }

    // Guards against a source that admits everything since it has counted nothing yet.
    void doesNotReplyRightAfterItsStart()
    {
        source_quota subject = quotaOf(100, 100);
        CPPUNIT_ASSERT(!subject.handle(node, usage_report{1, {usageOf(50)}}, start));
        const core::monotonic_time later = start + seconds(1);
        CPPUNIT_ASSERT(subject.handle(node, usage_report{1, {usageOf(50)}}, later).has_value());
    }

    // Guards against both sides of a partition that use the whole quota.
    void keepsToThePartOfTheNodesThatAreHeard()
    {
        source_quota whole = quotaOf(100, 0);
        source_quota part = quotaOf(100, 0);
        CPPUNIT_ASSERT(reportFor(whole, 8, seconds(5), start, 1).limited.empty());
        CPPUNIT_ASSERT(!reportFor(part, 8, seconds(5), start, 2).limited.empty());
        // The other side is heard again, with its one node.
        const core::monotonic_time later = start + seconds(5);
        for (core::monotonic_time now = later; now < later + seconds(5); now += interval) {
            part.handle(otherSource, usage_exchange{1, {}}, now);
            reportFor(part, 4, interval, now, 2);
        }
        part.handle(otherSource, usage_exchange{1, {}}, later + seconds(5));
        CPPUNIT_ASSERT(reportFor(part, 8, interval, later + seconds(5), 2).limited.empty());
    }

    // Guards against bytes between data centres for each request of a large workspace.
    void leavesOutSmallUsageOfALargeWorkspace()
    {
        source_quota subject = quotaOf(1'000, 1'000);
        subject.handle(node, usage_report{1, {usageOf(5)}}, start);
        CPPUNIT_ASSERT(subject.takeExchange(start).usages.empty());
        subject.handle(node, usage_report{1, {usageOf(40)}}, start);
        const usage_exchange exchange = subject.takeExchange(start + interval);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, exchange.usages.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{45}, exchange.usages[0].admitted);
        subject.handle(node, usage_report{1, {usageOf(1)}}, start + interval);
        CPPUNIT_ASSERT(!subject.takeExchange(start + seconds(2)).usages.empty());
    }

    void reportsLimitedWorkspacesOnce()
    {
        source_quota subject = quotaOf(100, 100);
        reportFor(subject, 40, seconds(3), start);
        const std::vector<limit_change> changes = subject.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes[0].isLimited);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subject.limitedWorkspaces());
    }

    // Guards against a source that spends its part of a core on the reports of its nodes.
    void slowsDownTheReportsOfManyNodes()
    {
        source_quota subject = quotaOf(100, 100);
        const core::monotonic_time later = start + seconds(1);
        subject.takeExchange(start);
        for (int count = 0; count < 280; ++count) {
            subject.handle(core::endpoint{std::to_string(count)}, usage_report{280, {}}, later);
        }
        const auto notice = subject.handle(node, usage_report{280, {}}, later);
        CPPUNIT_ASSERT(notice.has_value());
        CPPUNIT_ASSERT(notice->reportInterval >= milliseconds(280));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_quota_test);

} // namespace jackdawweir::quota
