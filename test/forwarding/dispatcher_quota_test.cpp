#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"
#include "jackdawweir/quota/node_quota.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class dispatcher_quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_quota_test);
    CPPUNIT_TEST(refusesARequestOverTheQuota);
    CPPUNIT_TEST(countsNoRequestWithoutAWorkspace);
    CPPUNIT_TEST(givesBackTheQuotaOfARequestThatDidNotRun);
    CPPUNIT_TEST(keepsTheQuotaOfARequestThatMayHaveRun);
    CPPUNIT_TEST(countsARepeatThatMayRunTwice);
    CPPUNIT_TEST_SUITE_END();

    // A dispatcher of the only node, out of touch, whose workspace "north" may send two requests.
    struct quota_fixture {
        explicit quota_fixture(bool sendsKey = true)
            : hasKey(sendsKey)
        {
            policy::policy_view view = dispatcher_fixture::view();
            for (policy::route &route : view.policy.routes) {
                route.isPublic = true;
            }
            policy::workspace workspace;
            workspace.name.value = "north";
            workspace.apiKeys = {"key-1"};
            workspace.requestsPerSecond = 2;
            workspace.burst = 2;
            view.policy.workspaces = {workspace};
            view.revision = 6;
            quotas.setWorkspaces(view.policy.workspaces, base.now - std::chrono::seconds(10));
            base.subject.setQuota(quotas);
            base.serve();
            base.subject.setView(view);
        }

        void begin(const std::string &path)
        {
            caller_request made = dispatcher_fixture::request(path);
            made.apiKey = hasKey ? "key-1" : "";
            base.subject.begin(
                made,
                [this](const caller_answer &answer) { base.answers.push_back(answer); },
                base.now);
        }

        // Returns how many further requests are sent at once.
        std::size_t sendable()
        {
            const std::size_t before = base.forwards().size();
            for (int count = 0; count < 5; ++count) {
                begin("/lookup/1");
            }
            return base.forwards().size() - before;
        }

        bool hasKey = true;
        quota::node_quota quotas{quota::quota_settings()};
        dispatcher_fixture base;
    };

public:
    // Guards against a request over the quota that reaches a server.
    void refusesARequestOverTheQuota()
    {
        quota_fixture fixture;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.sendable());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.base.answers.size());
        const caller_answer &refused = fixture.base.answers[0];
        CPPUNIT_ASSERT(refused.outcome == caller_outcome::OverQuota);
        CPPUNIT_ASSERT(refused.retryAfter.count() > 0);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), refused.workspace.value);
    }

    void countsNoRequestWithoutAWorkspace()
    {
        quota_fixture fixture(false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fixture.sendable());
    }

    // Guards against a quota that requests use up although no server has run them.
    void givesBackTheQuotaOfARequestThatDidNotRun()
    {
        quota_fixture fixture;
        fixture.begin("/order/1");
        fixture.base.blocked = {core::endpoint{"host-a:7000"},
                                core::endpoint{"host-b:7000"},
                                core::endpoint{"host-c:7000"}};
        fixture.base.answerLast(dispatcher_fixture::notRun(forward_reason::Full));
        CPPUNIT_ASSERT(fixture.base.answers.back().outcome == caller_outcome::NotRun);
        fixture.base.blocked.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.sendable());
    }

    void keepsTheQuotaOfARequestThatMayHaveRun()
    {
        quota_fixture fixture;
        fixture.begin("/order/1");
        fixture.base.answerLast(dispatcher_fixture::unknown());
        CPPUNIT_ASSERT(fixture.base.answers.back().outcome == caller_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sendable());
    }

    // Guards against repeats that run beyond the quota.
    void countsARepeatThatMayRunTwice()
    {
        quota_fixture fixture;
        fixture.begin("/lookup/1");
        fixture.base.answerLast(dispatcher_fixture::unknown());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.base.forwards().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.sendable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_quota_test);

} // namespace jackdawweir::forwarding
