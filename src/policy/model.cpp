#include "jackdawweir/policy/model.h"

#include <cmath>
#include <set>
#include <utility>

#include <absl/strings/str_cat.h>

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

void checkParts(const route &checked,
                const std::set<core::service_name> &known,
                std::vector<std::string> &faults)
{
    double total = 0;
    for (const traffic_part &part : checked.parts) {
        if (!known.contains(part.service)) {
            faults.push_back(absl::StrCat(
                "route ", checked.name.value, " names unknown service ", part.service.value));
        }
        if (!std::isfinite(part.weight) || part.weight < 0) {
            faults.push_back(
                absl::StrCat("route ", checked.name.value, " has a weight below zero"));
        }
        total += part.weight;
    }
    if (!(total > 0)) {
        faults.push_back(absl::StrCat("the weights of route ", checked.name.value, " add up to 0"));
    }
}

void checkRoute(const route &checked, std::vector<std::string> &faults)
{
    const auto fail = [&](const char *message) {
        faults.push_back(absl::StrCat("route ", checked.name.value, ": ", message));
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

} // namespace

std::vector<std::string> findViolations(const traffic_policy &policy)
{
    std::vector<std::string> faults;
    if (policy.number == 0) {
        faults.emplace_back("the version is not above 0");
    }
    const std::set<core::service_name> known = serviceNames(policy);
    if (known.size() != policy.services.size()) {
        faults.emplace_back("two services have one name");
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const route &each : policy.routes) {
        checkRoute(each, faults);
        checkParts(each, known, faults);
        if (!places.emplace(each.host, each.pathPrefix).second) {
            faults.push_back(
                absl::StrCat("route ", each.name.value, " has the host and prefix of another"));
        }
    }
    return faults;
}

} // namespace jackdawweir::policy
