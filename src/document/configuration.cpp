#include "jackdawweir/document/configuration.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::document {

namespace {

constexpr const char *servicePrefix = "service/";
constexpr const char *routePrefix = "route/";
constexpr const char *movePrefix = "move/";
constexpr std::uint32_t basisPointsPerPercent = 100;

core::error configurationError(core::error_code code, std::string message)
{
    return core::error{code, "build-configuration", "", std::move(message)};
}

template<typename Value>
core::status appendDecoded(const std::string &bytes, std::vector<Value> &values)
{
    core::result<Value> decoded = wire::decodeValue<Value>(bytes);
    if (const core::error *failure = core::errorIn(decoded)) {
        return *failure;
    }
    values.push_back(core::valueIn(std::move(decoded)));
    return core::okStatus();
}

core::status decodeResource(const std::string &name, const std::string &bytes, configuration &built)
{
    if (absl::StartsWith(name, servicePrefix)) {
        return appendDecoded(bytes, built.services);
    }
    if (absl::StartsWith(name, routePrefix)) {
        return appendDecoded(bytes, built.routes);
    }
    if (absl::StartsWith(name, movePrefix)) {
        return appendDecoded(bytes, built.moves);
    }
    return configurationError(core::error_code::DataLoss,
                              absl::StrCat("unknown resource '", name, "'"));
}

bool hasVersion(const service &owner, const core::version_name &version)
{
    return std::any_of(owner.versions.begin(),
                       owner.versions.end(),
                       [&version](const version_share &share) { return share.version == version; });
}

core::status checkReferences(const configuration &built)
{
    for (const route &checked : built.routes) {
        if (built.findService(checked.service) == nullptr) {
            return configurationError(core::error_code::InvalidArgument,
                                      absl::StrCat("route '",
                                                   checked.name.value,
                                                   "' names missing service '",
                                                   checked.service.value,
                                                   "'"));
        }
    }
    for (const move_state &checked : built.moves) {
        const service *owner = built.findService(checked.request.service);
        const bool referencesExist = owner != nullptr && hasVersion(*owner, checked.request.from)
            && hasVersion(*owner, checked.request.to);
        if (!referencesExist) {
            return configurationError(core::error_code::InvalidArgument,
                                      absl::StrCat("move of '",
                                                   checked.request.service.value,
                                                   "' names a missing service or version"));
        }
    }
    return core::okStatus();
}

void applyMove(const move_state &move, std::vector<effective_share> &shares)
{
    effective_share *oldShare = nullptr;
    effective_share *newShare = nullptr;
    for (effective_share &each : shares) {
        oldShare = each.version == move.request.from ? &each : oldShare;
        newShare = each.version == move.request.to ? &each : newShare;
    }
    if (oldShare == nullptr || newShare == nullptr) {
        return;
    }
    const std::uint32_t combinedShare = oldShare->basisPoints + newShare->basisPoints;
    newShare->basisPoints = static_cast<std::uint32_t>(
        std::uint64_t{combinedShare} * move.newShareBasisPoints / wholeShareBasisPoints);
    oldShare->basisPoints = combinedShare - newShare->basisPoints;
}

} // namespace

const service *configuration::findService(const core::service_name &name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&name](const service &each) {
        return each.name == name;
    });
    return found == services.end() ? nullptr : &*found;
}

const move_state *configuration::findMove(const core::service_name &name) const
{
    const auto found = std::find_if(moves.begin(), moves.end(), [&name](const move_state &each) {
        return each.request.service == name;
    });
    return found == moves.end() ? nullptr : &*found;
}

std::vector<effective_share> effectiveShares(const configuration &config,
                                             const core::service_name &name)
{
    std::vector<effective_share> shares;
    const service *owner = config.findService(name);
    if (owner == nullptr) {
        return shares;
    }
    for (const version_share &declared : owner->versions) {
        shares.push_back(
            effective_share{declared.version, declared.percent * basisPointsPerPercent});
    }
    const move_state *move = config.findMove(name);
    if (move == nullptr || move->phase == move_phase::Superseded) {
        return shares;
    }
    applyMove(*move, shares);
    return shares;
}

resource_map toResources(const document &accepted, const std::vector<move_state> &moves)
{
    resource_map resources;
    for (const service &each : accepted.services) {
        resources[servicePrefix + each.name.value] = wire::encodeValue(each);
    }
    for (const route &each : accepted.routes) {
        resources[routePrefix + each.name.value] = wire::encodeValue(each);
    }
    for (const move_state &each : moves) {
        resources[movePrefix + each.request.service.value] = wire::encodeValue(each);
    }
    return resources;
}

core::digest digestOf(const resource_map &resources)
{
    return core::digestOf(wire::encodeValue(resources));
}

core::result<configuration> configurationFrom(const core::config_version &version,
                                              const resource_map &resources)
{
    if (digestOf(resources) != version.contentDigest) {
        return configurationError(
            core::error_code::DataLoss,
            absl::StrCat("resources do not match the digest of version ", core::toString(version)));
    }
    configuration built;
    built.version = version;
    for (const auto &[name, bytes] : resources) {
        const core::status decoded = decodeResource(name, bytes, built);
        if (const core::error *failure = core::errorIn(decoded)) {
            return *failure;
        }
    }
    const core::status references = checkReferences(built);
    if (const core::error *failure = core::errorIn(references)) {
        return *failure;
    }
    return built;
}

} // namespace jackdawweir::document
