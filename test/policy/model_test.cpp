#include "jackdawweir/policy/model.h"

#include <functional>
#include <limits>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"

namespace jackdawweir::policy {

class model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(model_test);
    CPPUNIT_TEST(findsNoViolationInAValidPolicy);
    CPPUNIT_TEST(findsEachViolation);
    CPPUNIT_TEST(findsTwoRoutesWithOneName);
    CPPUNIT_TEST(findsTwoRoutesThatHostHeadersCannotTellApart);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsNoViolationInAValidPolicy()
    {
        CPPUNIT_ASSERT(findViolations(samplePolicy(1)).empty());
        traffic_policy split = samplePolicy(1);
        split.routes[0].parts.push_back({core::service_name{"stock"}, 0});
        CPPUNIT_ASSERT(findViolations(split).empty());
    }

    void findsEachViolation()
    {
        using change = std::function<void(traffic_policy &)>;
        const std::vector<std::pair<std::string, change>> changes{
            {"number",
             [](traffic_policy &policy) {
                 policy.number = 0;
             }},
            {"two workspaces with one key",
             [](traffic_policy &policy) {
                 policy.workspaces = {workspace{workspace_name{"north"}, {"key"}},
                                      workspace{workspace_name{"south"}, {"key"}}};
             }},
            {"two workspaces with one name",
             [](traffic_policy &policy) {
                 policy.workspaces = {workspace{workspace_name{"north"}, {"key-1"}},
                                      workspace{workspace_name{"north"}, {"key-2"}}};
             }},
            {"an empty key",
             [](traffic_policy &policy) {
                 policy.workspaces = {workspace{workspace_name{"north"}, {""}}};
             }},
            {"a quota below zero",
             [](traffic_policy &policy) {
                 policy.workspaces = {workspace{workspace_name{"north"}, {"key"}, 0, -1, 0}};
             }},
            {"unknown service",
             [](traffic_policy &policy) {
                 policy.routes[0].parts[0].service.value = "x";
             }},
            {"weights add up to 0",
             [](traffic_policy &policy) {
                 policy.routes[0].parts[0].weight = 0;
             }},
            {"negative weight",
             [](traffic_policy &policy) {
                 policy.routes[0].parts
                     = {{core::service_name{"stock"}, 2}, {core::service_name{"stock"}, -1}};
             }},
            {"weight is no number",
             [](traffic_policy &policy) {
                 policy.routes[0].parts[0].weight = std::numeric_limits<double>::quiet_NaN();
             }},
            {"no slash at the end",
             [](traffic_policy &policy) {
                 policy.routes[0].pathPrefix = "/stock";
             }},
            {"no slash",
             [](traffic_policy &policy) {
                 policy.routes[0].pathPrefix = "stock/";
             }},
            {"no host",
             [](traffic_policy &policy) {
                 policy.routes[0].host.clear();
             }},
            {"no timeout",
             [](traffic_policy &policy) {
                 policy.routes[0].timeout = std::chrono::milliseconds(0);
             }},
            {"no attempt",
             [](traffic_policy &policy) {
                 policy.routes[0].maxAttempts = 0;
             }},
            {"same place",
             [](traffic_policy &policy) {
                 policy.routes[1].pathPrefix = policy.routes[0].pathPrefix;
             }},
            {"same service name",
             [](traffic_policy &policy) {
                 policy.services.push_back(policy.services[0]);
             }},
        };
        for (const auto &[name, apply] : changes) {
            traffic_policy changed = samplePolicy(1);
            apply(changed);
            CPPUNIT_ASSERT_MESSAGE(name, !findViolations(changed).empty());
        }
    }

    // Guards against an added route that no node serves, since nodes hold routes by name.
    void findsTwoRoutesWithOneName()
    {
        traffic_policy changed = samplePolicy(1);
        changed.routes[1].name = changed.routes[0].name;
        CPPUNIT_ASSERT(!findViolations(changed).empty());
    }

    // Guards against an added route that no request can reach.
    void findsTwoRoutesThatHostHeadersCannotTellApart()
    {
        for (const char *host : {"Shop.Example", "shop.example:8080"}) {
            traffic_policy changed = samplePolicy(1);
            changed.routes[1].pathPrefix = changed.routes[0].pathPrefix;
            changed.routes[1].host = host;
            CPPUNIT_ASSERT_MESSAGE(host, !findViolations(changed).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(model_test);

} // namespace jackdawweir::policy
