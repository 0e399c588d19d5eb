#include "document/validation.h"

#include <algorithm>
#include <set>
#include <string>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace jackdawweir::document::internal {

namespace {

using fault = std::optional<field_fault>;

// Names appear in resource names, file names and HTML, so their length and characters are limited.
constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxPathLength = 256;
constexpr std::string_view namePunctuation = "._-";
// The non-alphanumeric characters of an RFC 3986 path, without percent-encoding.
constexpr std::string_view pathPunctuation = "/._~-!$&'()*+,;=:@";

bool isAlphanumericOr(std::string_view text, std::string_view punctuation)
{
    return std::all_of(text.begin(), text.end(), [punctuation](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character))
            || punctuation.find(character) != std::string_view::npos;
    });
}

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameLength
        && absl::ascii_isalnum(static_cast<unsigned char>(name.front()))
        && isAlphanumericOr(name, namePunctuation);
}

fault checkName(const std::string &field, const std::string &name)
{
    if (isValidName(name)) {
        return std::nullopt;
    }
    return field_fault{field,
                       absl::StrCat("expected a name of 1 to ",
                                    maxNameLength,
                                    " letters, digits, '.', '_' or '-' that starts with a letter "
                                    "or digit, got ",
                                    quoteForMessage(name))};
}

// Checks that a name is valid and not yet in `seen`.
fault checkUniqueName(const std::string &field,
                      const std::string &name,
                      std::set<std::string> &seen)
{
    if (fault found = checkName(field, name)) {
        return found;
    }
    if (!seen.insert(name).second) {
        return field_fault{field, absl::StrCat("duplicate name '", name, "'")};
    }
    return std::nullopt;
}

fault checkVersions(const std::string &field, const service &checked)
{
    std::set<std::string> names;
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < checked.versions.size(); ++index) {
        const version_share &share = checked.versions[index];
        const std::string nameField = absl::StrCat(field, "[", index, "].name");
        if (fault found = checkUniqueName(nameField, share.version.value, names)) {
            return found;
        }
        sum += share.percent;
    }
    if (sum != wholeSharePercent) {
        return field_fault{field, absl::StrCat("the shares sum to ", sum, ", expected 100")};
    }
    return std::nullopt;
}

fault checkServices(const document &checked)
{
    std::set<std::string> names;
    for (std::size_t index = 0; index < checked.services.size(); ++index) {
        const std::string field = absl::StrCat("services[", index, "]");
        const service &each = checked.services[index];
        if (fault found = checkUniqueName(field + ".name", each.name.value, names)) {
            return found;
        }
        if (fault found = checkVersions(field + ".versions", each)) {
            return found;
        }
    }
    return std::nullopt;
}

const service *findService(const document &searched, const core::service_name &name)
{
    const auto found = std::find_if(searched.services.begin(),
                                    searched.services.end(),
                                    [&name](const service &each) { return each.name == name; });
    return found == searched.services.end() ? nullptr : &*found;
}

fault checkPath(const std::string &field, const std::string &path, std::set<std::string> &seen)
{
    const bool valid = !path.empty() && path.size() <= maxPathLength && path.front() == '/'
        && isAlphanumericOr(path, pathPunctuation);
    if (!valid) {
        return field_fault{field,
                           absl::StrCat("expected a path prefix that starts with '/', of at most ",
                                        maxPathLength,
                                        " path characters, got ",
                                        quoteForMessage(path))};
    }
    if (!seen.insert(path).second) {
        return field_fault{field, absl::StrCat("duplicate path prefix '", path, "'")};
    }
    return std::nullopt;
}

fault checkServiceExists(const document &checked,
                         const std::string &field,
                         const core::service_name &name)
{
    if (findService(checked, name) != nullptr) {
        return std::nullopt;
    }
    return field_fault{field, absl::StrCat("no service ", quoteForMessage(name.value))};
}

fault checkContract(const std::string &field, const route_contract &contract)
{
    if (contract.weight < 1 || contract.weight > maxWeight) {
        return field_fault{field + ".weight", absl::StrCat("expected 1 to ", maxWeight)};
    }
    if (contract.deadline < minDeadline || contract.deadline > maxDeadline) {
        return field_fault{field + ".deadline", "expected 1ms to 3600s"};
    }
    return std::nullopt;
}

fault checkRoutes(const document &checked)
{
    std::set<std::string> names;
    std::set<std::string> paths;
    for (std::size_t index = 0; index < checked.routes.size(); ++index) {
        const std::string field = absl::StrCat("routes[", index, "]");
        const route &each = checked.routes[index];
        if (fault found = checkUniqueName(field + ".name", each.name.value, names)) {
            return found;
        }
        if (fault found = checkPath(field + ".path", each.pathPrefix, paths)) {
            return found;
        }
        if (fault found = checkServiceExists(checked, field + ".service", each.service)) {
            return found;
        }
        if (fault found = checkContract(field, each.contract)) {
            return found;
        }
    }
    return std::nullopt;
}

fault checkVersionExists(const service &owner,
                         const std::string &field,
                         const core::version_name &version)
{
    for (const version_share &share : owner.versions) {
        if (share.version == version) {
            return std::nullopt;
        }
    }
    return field_fault{
        field,
        absl::StrCat(
            "service '", owner.name.value, "' has no version ", quoteForMessage(version.value))};
}

fault checkMoves(const document &checked)
{
    std::set<std::string> services;
    for (std::size_t index = 0; index < checked.moves.size(); ++index) {
        const std::string field = absl::StrCat("moves[", index, "]");
        const move_request &each = checked.moves[index];
        if (fault found = checkServiceExists(checked, field + ".service", each.service)) {
            return found;
        }
        if (!services.insert(each.service.value).second) {
            return field_fault{field + ".service",
                               absl::StrCat("second move of service '", each.service.value, "'")};
        }
        const service &owner = *findService(checked, each.service);
        if (fault found = checkVersionExists(owner, field + ".from", each.from)) {
            return found;
        }
        if (fault found = checkVersionExists(owner, field + ".to", each.to)) {
            return found;
        }
        if (each.from == each.to) {
            return field_fault{field + ".to", "the old and the new version are the same"};
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<field_fault> findFault(const document &checked)
{
    if (fault found = checkServices(checked)) {
        return found;
    }
    if (fault found = checkRoutes(checked)) {
        return found;
    }
    return checkMoves(checked);
}

} // namespace jackdawweir::document::internal
