#include "settings/validation.h"

#include <algorithm>
#include <map>
#include <set>

#include <absl/strings/str_cat.h>

#include "jackdawweir/core/address.h"

namespace jackdawweir::settings::internal {

namespace {

using fault = std::optional<document::field_fault>;
using document::field_fault;
using document::quoteForMessage;

constexpr std::size_t maxNameLength = 63;

fault checkEndpoint(const std::string &field, const core::endpoint &address)
{
    if (core::isAddressAndPort(address.value)) {
        return std::nullopt;
    }
    return field_fault{field,
                       absl::StrCat("expected ADDRESS:PORT, for example 127.0.1.1:7001, got ",
                                    quoteForMessage(address.value))};
}

fault checkName(const std::string &field, const std::string &name)
{
    constexpr const char *alphabet
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    const bool isValid = !name.empty() && name.size() <= maxNameLength
        && name.find_first_not_of(alphabet) == std::string::npos;
    if (isValid) {
        return std::nullopt;
    }
    return field_fault{field,
                       absl::StrCat("expected a name of 1 to ",
                                    maxNameLength,
                                    " letters, digits, '.', '_' or '-', got ",
                                    quoteForMessage(name))};
}

// Records addresses and finds duplicates.
class address_register
{
public:
    // Records an address. Returns a fault if it is malformed or was recorded for another field.
    fault add(const std::string &field, const core::endpoint &address)
    {
        if (fault found = checkEndpoint(field, address)) {
            return found;
        }
        const auto [earlier, added] = m_fields.emplace(address.value, field);
        if (!added) {
            return field_fault{
                field,
                absl::StrCat("duplicate address ", address.value, ", also in ", earlier->second)};
        }
        return std::nullopt;
    }

    fault addAll(const std::string &field, const std::vector<core::endpoint> &addresses)
    {
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            if (fault found = add(absl::StrCat(field, "[", index, "]"), addresses[index])) {
                return found;
            }
        }
        return std::nullopt;
    }

private:
    std::map<std::string, std::string> m_fields;
};

fault checkOwnAddresses(address_register &addresses, const daemon_settings &checked)
{
    if (fault found = addresses.add("callers", checked.callers)) {
        return found;
    }
    if (fault found = addresses.add("operators", checked.operators)) {
        return found;
    }
    return checkEndpoint("mesh", checked.mesh);
}

fault checkDataCentre(const std::string &field, const data_centre_settings &checked)
{
    if (fault found = checkName(field + ".name", checked.name.value)) {
        return found;
    }
    if (fault found = checkName(field + ".region", checked.region.value)) {
        return found;
    }
    if (checked.relayCandidates.empty()) {
        return field_fault{field + ".relay-candidates", "expected at least one address"};
    }
    return std::nullopt;
}

fault checkDataCentres(address_register &addresses, const daemon_settings &checked)
{
    std::set<std::string> names;
    for (std::size_t index = 0; index < checked.dataCentres.size(); ++index) {
        const data_centre_settings &each = checked.dataCentres[index];
        const std::string field = absl::StrCat("data-centres[", index, "]");
        if (fault found = checkDataCentre(field, each)) {
            return found;
        }
        if (!names.insert(each.name.value).second) {
            return field_fault{field + ".name",
                               absl::StrCat("duplicate name '", each.name.value, "'")};
        }
        if (fault found = addresses.addAll(field + ".relay-candidates", each.relayCandidates)) {
            return found;
        }
    }
    return std::nullopt;
}

// Checks that the mesh address of this host is not also its callers' or operators' address and is
// not a relay candidate of another data centre.
fault checkMesh(const daemon_settings &checked)
{
    for (const core::endpoint &own : {checked.callers, checked.operators}) {
        if (own == checked.mesh) {
            return field_fault{"mesh", absl::StrCat("duplicate address ", own.value)};
        }
    }
    for (std::size_t index = 0; index < checked.dataCentres.size(); ++index) {
        const data_centre_settings &each = checked.dataCentres[index];
        const bool isCandidate
            = std::count(each.relayCandidates.begin(), each.relayCandidates.end(), checked.mesh)
            != 0;
        if (isCandidate && each.name != checked.dataCentre) {
            return field_fault{absl::StrCat("data-centres[", index, "].relay-candidates"),
                               absl::StrCat("holds ",
                                            checked.mesh.value,
                                            ", which is the mesh address of this host in '",
                                            checked.dataCentre.value,
                                            "'")};
        }
    }
    return std::nullopt;
}

fault checkOwnDataCentre(const daemon_settings &checked)
{
    const data_centre_settings *own = checked.findDataCentre(checked.dataCentre);
    if (own == nullptr) {
        return field_fault{
            "data-centre",
            absl::StrCat(quoteForMessage(checked.dataCentre.value), " is not in data-centres")};
    }
    if (own->region != checked.region) {
        return field_fault{"region",
                           absl::StrCat("data-centres puts '",
                                        checked.dataCentre.value,
                                        "' in region '",
                                        own->region.value,
                                        "'")};
    }
    return std::nullopt;
}

fault checkSourceMesh(const daemon_settings &checked)
{
    if (!checked.source.has_value()) {
        return std::nullopt;
    }
    const core::endpoint &own = checked.source->mesh;
    if (fault found = checkEndpoint("source.mesh", own)) {
        return found;
    }
    if (std::count(checked.sources.begin(), checked.sources.end(), own) == 0) {
        return field_fault{"sources",
                           absl::StrCat("lacks ", own.value, ", the mesh address of this source")};
    }
    return std::nullopt;
}

fault checkSources(const daemon_settings &checked)
{
    if (checked.sources.empty() || checked.sources.size() > maxSources) {
        return field_fault{"sources", absl::StrCat("expected 1 to ", maxSources, " addresses")};
    }
    // A source and a node use different protocols, so they cannot share an address.
    address_register addresses;
    if (fault found = checkOwnAddresses(addresses, checked)) {
        return found;
    }
    if (fault found = checkDataCentres(addresses, checked)) {
        return found;
    }
    if (fault found = addresses.addAll("sources", checked.sources)) {
        return found;
    }
    if (std::count(checked.sources.begin(), checked.sources.end(), checked.mesh) != 0) {
        return field_fault{"sources",
                           absl::StrCat("duplicate address ",
                                        checked.mesh.value,
                                        ", which is the mesh address of this node")};
    }
    return checkSourceMesh(checked);
}

fault checkPaths(const daemon_settings &checked)
{
    if (checked.source.has_value() && checked.source->dataFolder.empty()) {
        return field_fault{"source.data-folder", "expected a path"};
    }
    if (checked.operatorTokenFile.empty()) {
        return field_fault{"operator-token-file", "expected a path"};
    }
    return std::nullopt;
}

fault checkLimits(const limit_settings &limits)
{
    if (limits.shutdownTimeout < minShutdownTimeout
        || limits.shutdownTimeout > maxShutdownTimeout) {
        return field_fault{"limits.shutdown-timeout", "expected 100ms to 600s"};
    }
    return std::nullopt;
}

} // namespace

std::optional<field_fault> findFault(const daemon_settings &checked)
{
    if (fault found = checkName("host", checked.host.value)) {
        return found;
    }
    address_register addresses;
    if (fault found = checkOwnAddresses(addresses, checked)) {
        return found;
    }
    if (fault found = checkDataCentres(addresses, checked)) {
        return found;
    }
    if (fault found = checkOwnDataCentre(checked)) {
        return found;
    }
    if (fault found = checkMesh(checked)) {
        return found;
    }
    if (fault found = checkSources(checked)) {
        return found;
    }
    if (fault found = checkPaths(checked)) {
        return found;
    }
    return checkLimits(checked.limits);
}

} // namespace jackdawweir::settings::internal
