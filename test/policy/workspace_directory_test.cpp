#include "jackdawweir/policy/workspace_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"

namespace jackdawweir::policy {

class workspace_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workspace_directory_test);
    CPPUNIT_TEST(findsTheHolderOfEachKey);
    CPPUNIT_TEST(findsNothingForAnUnknownKey);
    CPPUNIT_TEST(requiresNoKeyWithoutWorkspaces);
    CPPUNIT_TEST_SUITE_END();

public:
    static workspace workspaceWith(const std::string &name, const std::vector<std::string> &keys)
    {
        workspace made;
        made.name.value = name;
        made.apiKeys = keys;
        return made;
    }

    static traffic_policy policyWithWorkspaces()
    {
        traffic_policy made = samplePolicy(1);
        made.workspaces
            = {workspaceWith("north", {"key-1", "key-2"}), workspaceWith("south", {"key-3"})};
        return made;
    }

    void findsTheHolderOfEachKey()
    {
        const workspace_directory directory(policyWithWorkspaces());
        CPPUNIT_ASSERT(directory.hasWorkspaces());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), directory.findByKey("key-1")->name.value);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), directory.findByKey("key-2")->name.value);
        CPPUNIT_ASSERT_EQUAL(std::string("south"), directory.findByKey("key-3")->name.value);
    }

    // Guards against callers that are served with part of a key or without one.
    void findsNothingForAnUnknownKey()
    {
        const workspace_directory directory(policyWithWorkspaces());
        CPPUNIT_ASSERT(directory.findByKey("key") == nullptr);
        CPPUNIT_ASSERT(directory.findByKey("") == nullptr);
        CPPUNIT_ASSERT(directory.findByKey("key-1 ") == nullptr);
    }

    void requiresNoKeyWithoutWorkspaces()
    {
        const workspace_directory directory(samplePolicy(1));
        CPPUNIT_ASSERT(!directory.hasWorkspaces());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_directory_test);

} // namespace jackdawweir::policy
