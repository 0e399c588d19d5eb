// A configuration that an operator of the soak sends: its routes, its text, and for an invalid one
// the defect. Every text is unique, so a text that is read names the change.
//
//     const configuration_change change = makeChange(7, base, 3, {{"/c7/", "stock"}});
//     const configuration_change invalid = makeInvalidChange(8, base, defect::ZeroWeights);

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jackdawweir::platform_soak {

// The service of each route of a configuration by its path prefix.
using route_map = std::map<std::string, std::string>;

// What is wrong with a configuration.
enum class defect : std::uint8_t {
    None,
    CutShort,
    UnknownService,
    ZeroWeights,
    NegativeWeight,
    PrefixWithoutSlash,
    UnknownType,
    MissingTimeout,
    ZeroTimeout,
    OldVersion,
    SameVersion,
    OtherBase,
    DuplicateRoute,
};

inline constexpr std::array allDefects{defect::CutShort,
                                       defect::UnknownService,
                                       defect::ZeroWeights,
                                       defect::NegativeWeight,
                                       defect::PrefixWithoutSlash,
                                       defect::UnknownType,
                                       defect::MissingTimeout,
                                       defect::ZeroTimeout,
                                       defect::OldVersion,
                                       defect::SameVersion,
                                       defect::OtherBase,
                                       defect::DuplicateRoute};

struct configuration_change {
    // Counts the changes of a run from 0.
    std::size_t id = 0;
    std::uint64_t version = 0;
    // The change that this one builds on; none for the first one.
    std::optional<std::size_t> base;
    std::uint64_t baseVersion = 0;
    // The routes besides "/stock/" and "/order/".
    route_map routes;
    std::string text;
    defect fault = defect::None;
};

// Returns the prefix of the route that the change of this id adds.
std::string ownPrefix(std::size_t id);

// Returns the service of "/stock/" and "/order/" in a version.
std::string firstRouteService(std::uint64_t version);

// Returns the name of a defect for reports.
std::string nameOf(defect fault);

// Returns a change with the routes, `step` versions above the base.
configuration_change makeChange(std::size_t id,
                                const configuration_change *base,
                                std::uint64_t step,
                                const route_map &routes);

// Returns a change that adds a route of its own and has the defect.
configuration_change
makeInvalidChange(std::size_t id, const configuration_change &base, defect fault);

} // namespace jackdawweir::platform_soak
