// Tests which callers a dispatcher refuses for their key, and which workspace it names to servers.

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

class dispatcher_workspaces_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_workspaces_test);
    CPPUNIT_TEST(refusesCallersWithoutAKeyOfAWorkspace);
    CPPUNIT_TEST(servesAPublicRouteWithoutAKey);
    CPPUNIT_TEST(refusesAnUnknownKeyOnAPublicRoute);
    CPPUNIT_TEST(refusesAKeyOnlyOnceItHoldsAPolicy);
    CPPUNIT_TEST(forwardsCredentialsOnlyWithoutWorkspaces);
    CPPUNIT_TEST(sendsTheNextAttemptForTheNewHolderOfAKey);
    CPPUNIT_TEST(startsNoAttemptAfterTheKeyWasWithdrawn);
    CPPUNIT_TEST(reportsAWithdrawnKeyAsUnknownOnceARequestMayHaveRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesCallersWithoutAKeyOfAWorkspace()
    {
        dispatcher_fixture fixture;
        fixture.subject.setView(viewWithWorkspaces());
        fixture.serve();
        beginWithKey(fixture, "");
        beginWithKey(fixture, "key-2");
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unauthorized);
        CPPUNIT_ASSERT(fixture.answers.at(1).outcome == caller_outcome::Unauthorized);
        CPPUNIT_ASSERT(fixture.forwards().empty());
        beginWithKey(fixture, "key-1");
        CPPUNIT_ASSERT_EQUAL(std::string("north"), fixture.lastForward().workspace.value);
        CPPUNIT_ASSERT_EQUAL(2U, fixture.lastForward().workspaceRank);
    }

    void servesAPublicRouteWithoutAKey()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = viewWithWorkspaces();
        view.policy.routes[0].isPublic = true;
        fixture.subject.setView(view);
        fixture.serve();
        beginWithKey(fixture, "");
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.lastForward().workspace.value);
    }

    void refusesAnUnknownKeyOnAPublicRoute()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = viewWithWorkspaces();
        view.policy.routes[0].isPublic = true;
        fixture.subject.setView(view);
        fixture.serve();
        beginWithKey(fixture, "key-2");
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unauthorized);
        CPPUNIT_ASSERT(fixture.forwards().empty());
    }

    // Guards against a node that has just started and tells callers that their keys are unknown.
    void refusesAKeyOnlyOnceItHoldsAPolicy()
    {
        dispatcher_fixture fixture;
        beginWithKey(fixture, "key-1");
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::NotRun);
    }

    // Guards against a key that reaches a server, also one of a request that began while there were
    // no workspaces, and against servers that lose the credentials they check themselves.
    void forwardsCredentialsOnlyWithoutWorkspaces()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        caller_request request = dispatcher_fixture::request("/lookup/1");
        request.apiKey = "key-1";
        request.credentials = {{"Authorization", "Bearer key-1"}};
        fixture.subject.begin(
            request, [](const caller_answer &) {}, fixture.now);
        CPPUNIT_ASSERT(http::findHeader(fixture.lastForward().headers, "Authorization") != nullptr);
        policy::policy_view withWorkspaces = viewWithWorkspaces();
        withWorkspaces.revision = 6;
        fixture.subject.setView(withWorkspaces);
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Full));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.forwards().size());
        CPPUNIT_ASSERT(http::findHeader(fixture.lastForward().headers, "Authorization") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), fixture.lastForward().workspace.value);
    }

    // Guards against a server that gets the name of a workspace that no longer holds the key.
    void sendsTheNextAttemptForTheNewHolderOfAKey()
    {
        dispatcher_fixture fixture;
        fixture.subject.setView(viewWithWorkspaces());
        fixture.serve();
        beginWithKey(fixture, "key-1");
        policy::policy_view moved = viewWithWorkspaces();
        moved.revision = 6;
        moved.policy.workspaces = {policy::workspace{policy::workspace_name{"south"}, {"key-1"}}};
        fixture.subject.setView(moved);
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Full));
        CPPUNIT_ASSERT_EQUAL(std::string("south"), fixture.lastForward().workspace.value);
        CPPUNIT_ASSERT_EQUAL(0U, fixture.lastForward().workspaceRank);
    }

    // Guards against a status that tells callers to give up although the request may have run.
    void reportsAWithdrawnKeyAsUnknownOnceARequestMayHaveRun()
    {
        dispatcher_fixture fixture;
        fixture.subject.setView(viewWithWorkspaces());
        fixture.serve();
        beginWithKey(fixture, "key-1");
        policy::policy_view withdrawn = viewWithWorkspaces();
        withdrawn.revision = 6;
        withdrawn.policy.workspaces[0].apiKeys = {"key-9"};
        fixture.subject.setView(withdrawn);
        fixture.answerLast(dispatcher_fixture::unknown());
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
    }

    // Guards against a withdrawn key that is still in use by requests that were in flight.
    void startsNoAttemptAfterTheKeyWasWithdrawn()
    {
        dispatcher_fixture fixture;
        fixture.subject.setView(viewWithWorkspaces());
        fixture.serve();
        beginWithKey(fixture, "key-1");
        policy::policy_view withdrawn = viewWithWorkspaces();
        withdrawn.revision = 6;
        withdrawn.policy.workspaces[0].apiKeys = {"key-9"};
        fixture.subject.setView(withdrawn);
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Full));
        CPPUNIT_ASSERT(fixture.answers.at(0).outcome == caller_outcome::Unauthorized);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.forwards().size());
    }

private:
    static policy::policy_view viewWithWorkspaces()
    {
        policy::policy_view made = dispatcher_fixture::view();
        made.policy.workspaces = {policy::workspace{policy::workspace_name{"north"}, {"key-1"}, 2}};
        return made;
    }

    static void beginWithKey(dispatcher_fixture &fixture, const std::string &key)
    {
        caller_request request = dispatcher_fixture::request("/lookup/1");
        request.apiKey = key;
        fixture.subject.begin(
            std::move(request),
            [&](const caller_answer &answer) { fixture.answers.push_back(answer); },
            fixture.now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_workspaces_test);

} // namespace jackdawweir::forwarding
