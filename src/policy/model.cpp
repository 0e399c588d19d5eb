#include "jackdawweir/policy/model.h"

#include <cmath>
#include <set>
#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/policy/route_table.h"

namespace jackdawweir::policy {

namespace {

std::set<core::service_name> serviceNames(const traffic_policy &policy)
{
    std::set<core::service_name> names;
    for (const service &each : policy.services) {
        names.insert(each.name);
    }
    return names;
}

void checkTrafficParts(const route &checked,
                       const std::set<core::service_name> &known,
                       std::vector<std::string> &violations)
{
    double total = 0;
    for (const traffic_part &part : checked.parts) {
        if (!known.contains(part.service)) {
            violations.push_back(absl::StrCat(
                "route ", checked.name.value, " names unknown service ", part.service.value));
        }
        if (!std::isfinite(part.weight) || part.weight < 0) {
            violations.push_back(
                absl::StrCat("route ", checked.name.value, " has a weight below zero"));
        }
        total += part.weight;
    }
    if (!(total > 0)) {
        violations.push_back(
            absl::StrCat("the weights of route ", checked.name.value, " add up to 0"));
    }
}

void checkRoute(const route &checked, std::vector<std::string> &violations)
{
    const auto fail = [&](const char *message) {
        violations.push_back(absl::StrCat("route ", checked.name.value, ": ", message));
    };
    if (checked.host.empty()) {
        fail("the host is empty");
    }
    if (!checked.pathPrefix.starts_with('/') || !checked.pathPrefix.ends_with('/')) {
        fail("the path prefix does not begin and end with a slash");
    }
    if (checked.timeout.count() <= 0) {
        fail("the timeout is not above zero");
    }
    if (checked.maxAttempts == 0) {
        fail("no attempt is allowed");
    }
}

// The messages name no key, since they are logged and sent to operators.
void checkWorkspaces(const traffic_policy &policy, std::vector<std::string> &violations)
{
    std::set<workspace_name> names;
    std::set<std::string> keys;
    for (const workspace &each : policy.workspaces) {
        const auto fail = [&](const char *message) {
            violations.push_back(absl::StrCat("workspace ", each.name.value, ": ", message));
        };
        if (each.name.empty() || !names.insert(each.name).second) {
            fail("the name is empty or used twice");
        }
        for (const std::string &key : each.apiKeys) {
            if (key.empty() || !keys.insert(key).second) {
                fail("an API key is empty or used twice");
            }
        }
        const bool isQuotaValid = std::isfinite(each.requestsPerSecond)
            && each.requestsPerSecond >= 0 && std::isfinite(each.burst) && each.burst >= 0;
        if (!isQuotaValid) {
            fail("the quota is below zero");
        }
    }
}

} // namespace

std::vector<std::string> findViolations(const traffic_policy &policy)
{
    std::vector<std::string> violations;
    if (policy.number == 0) {
        violations.emplace_back("the version is not above 0");
    }
    const std::set<core::service_name> known = serviceNames(policy);
    if (known.size() != policy.services.size()) {
        violations.emplace_back("two services have one name");
    }
    std::set<core::route_name> routeNames;
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const route &each : policy.routes) {
        checkRoute(each, violations);
        checkTrafficParts(each, known, violations);
        if (!routeNames.insert(each.name).second) {
            violations.push_back(absl::StrCat("two routes have the name ", each.name.value));
        }
        if (!hostsAndPrefixes.emplace(hostWithoutPort(each.host), each.pathPrefix).second) {
            violations.push_back(
                absl::StrCat("route ", each.name.value, " has the host and prefix of another"));
        }
    }
    checkWorkspaces(policy, violations);
    return violations;
}

} // namespace jackdawweir::policy
