#include "jackdawweir/quota/node_quota.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::quota {

using std::chrono::milliseconds;
using std::chrono::seconds;

class node_quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_quota_test);
    CPPUNIT_TEST(admitsEverythingOfAWorkspaceWithoutAQuota);
    CPPUNIT_TEST(admitsEverythingInTouchWhileNoShareIsStated);
    CPPUNIT_TEST(admitsTheStatedShare);
    CPPUNIT_TEST(keepsToItsPartOutOfTouch);
    CPPUNIT_TEST(doesNotRoundThePartsOfManyNodesUp);
    CPPUNIT_TEST(paysItsDebtBackBeforeSharesApplyAgain);
    CPPUNIT_TEST(paysItsDebtBackForSecondsOnly);
    CPPUNIT_TEST(reportsWhatWasReleased);
    CPPUNIT_TEST(reportsNothingOutOfTouch);
    CPPUNIT_TEST(appliesALowerQuotaAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr core::monotonic_time start{seconds(100)};
    const policy::workspace_name bakery{"bakery"};

    static policy::workspace
    workspaceWith(const std::string &name, double requestsPerSecond, double burst)
    {
        policy::workspace made;
        made.name.value = name;
        made.requestsPerSecond = requestsPerSecond;
        made.burst = burst;
        return made;
    }

    static node_quota quotaOf(double requestsPerSecond, double burst, const node_place &place)
    {
        node_quota made{quota_settings()};
        made.setWorkspaces({workspaceWith("bakery", requestsPerSecond, burst)}, start);
        made.setPlace(place);
        return made;
    }

    static quota_notice noticeWithShare(std::uint32_t share)
    {
        quota_notice notice;
        notice.limited = {admission_share{idOf(policy::workspace_name{"bakery"}), share}};
        return notice;
    }

    // Brings a node in touch: the first notice arrives early enough that the shares apply at `now`.
    static void touch(node_quota &subject, const quota_notice &notice, core::monotonic_time now)
    {
        subject.handle(notice, now - milliseconds(350));
        subject.handle(notice, now);
    }

    int admittedOf(node_quota &subject, int requests, core::monotonic_time now) const
    {
        int admitted = 0;
        for (int count = 0; count < requests; ++count) {
            admitted += subject.tryAdmit(bakery, now) ? 0 : 1;
        }
        return admitted;
    }

    void admitsEverythingOfAWorkspaceWithoutAQuota()
    {
        node_quota subject{quota_settings()};
        subject.setWorkspaces({workspaceWith("bakery", 0, 0)}, start);
        CPPUNIT_ASSERT(!subject.hasQuotas());
        CPPUNIT_ASSERT_EQUAL(100, admittedOf(subject, 100, start));
    }

    // Guards against refusals on a node that has no part of a small quota, while others use none.
    void admitsEverythingInTouchWhileNoShareIsStated()
    {
        node_quota subject = quotaOf(2, 2, node_place{92, 5});
        touch(subject, quota_notice(), start);
        CPPUNIT_ASSERT_EQUAL(20, admittedOf(subject, 20, start));
    }

    void admitsTheStatedShare()
    {
        node_quota subject = quotaOf(100, 100, node_place{92, 5});
        touch(subject, noticeWithShare(wholeAdmission / 4), start);
        const int admitted = admittedOf(subject, 400, start);
        CPPUNIT_ASSERT(admitted >= 99 && admitted <= 101);
    }

    // Guards against a node that serves without a limit while no source answers.
    void keepsToItsPartOutOfTouch()
    {
        node_quota subject = quotaOf(100, 100, node_place{10, 0});
        int admitted = 0;
        for (int count = 0; count < 5'000; ++count) {
            admitted += admittedOf(subject, 1, start + milliseconds(count));
        }
        CPPUNIT_ASSERT(admitted >= 49 && admitted <= 61);
    }

    // Guards against 92 nodes that each admit one request of a workspace that may send four.
    void doesNotRoundThePartsOfManyNodesUp()
    {
        constexpr std::uint32_t nodes = 92;
        int admitted = 0;
        for (std::uint32_t rank = 0; rank < nodes; ++rank) {
            node_quota subject = quotaOf(4, 4, node_place{nodes, rank});
            admitted += admittedOf(subject, 3, start + seconds(1));
        }
        CPPUNIT_ASSERT(admitted >= 3 && admitted <= 5);
    }

    // Guards against a second burst through sources that have restarted and know of no request.
    void paysItsDebtBackBeforeSharesApplyAgain()
    {
        node_quota subject = quotaOf(10, 10, node_place{1, 0});
        touch(subject, quota_notice(), start);
        admittedOf(subject, 30, start);
        const core::monotonic_time silent = start + milliseconds(500);
        CPPUNIT_ASSERT(!subject.isInTouch(silent));
        CPPUNIT_ASSERT_EQUAL(0, admittedOf(subject, 5, silent));
        touch(subject, quota_notice(), silent);
        CPPUNIT_ASSERT_EQUAL(0, admittedOf(subject, 5, silent));
        const core::monotonic_time repaid = silent + seconds(3);
        touch(subject, quota_notice(), repaid);
        CPPUNIT_ASSERT_EQUAL(5, admittedOf(subject, 5, repaid));
    }

    // Guards against a node that refuses a small workspace for a minute after a short silence.
    void paysItsDebtBackForSecondsOnly()
    {
        node_quota subject = quotaOf(2, 2, node_place{92, 5});
        touch(subject, quota_notice(), start);
        admittedOf(subject, 1, start);
        const core::monotonic_time silent = start + milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(0, admittedOf(subject, 1, silent));
        for (int step = 1; step <= 30; ++step) {
            subject.handle(quota_notice(), silent + step * milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(1, admittedOf(subject, 1, silent + seconds(3)));
    }

    // Guards against a quota that requests use up although no server has run them.
    void reportsWhatWasReleased()
    {
        node_quota subject = quotaOf(100, 100, node_place{92, 5});
        touch(subject, quota_notice(), start);
        admittedOf(subject, 7, start);
        subject.release(bakery, start);
        subject.chargeRepeat(bakery, start);
        subject.release(bakery, start);
        const usage_report report = subject.takeReport(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.usages.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, report.usages[0].admitted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, report.usages[0].offered);
        CPPUNIT_ASSERT(subject.takeReport(start).usages.empty());
    }

    // Guards against a source that counts at once what was admitted during a long silence.
    void reportsNothingOutOfTouch()
    {
        node_quota subject = quotaOf(100, 100, node_place{1, 0});
        admittedOf(subject, 50, start + seconds(1));
        CPPUNIT_ASSERT(subject.takeReport(start + seconds(1)).usages.empty());
        subject.handle(quota_notice(), start + seconds(1));
        CPPUNIT_ASSERT(subject.takeReport(start + seconds(1)).usages.empty());
    }

    void appliesALowerQuotaAtOnce()
    {
        node_quota subject = quotaOf(100, 100, node_place{1, 0});
        const core::monotonic_time later = start + seconds(2);
        subject.setWorkspaces({workspaceWith("bakery", 10, 10)}, later);
        CPPUNIT_ASSERT(admittedOf(subject, 100, later) <= 11);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_quota_test);

} // namespace jackdawweir::quota
