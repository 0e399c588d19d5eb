// Evidence and committed states for the tests of this module.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "jackdawweir/moves/messages.h"

namespace jackdawweir::moves::test {

inline const core::service_name quotes{"quotes"};
inline const core::version_name oldVersion{"v1"};
inline const core::version_name newVersion{"v2"};
constexpr std::chrono::seconds allowed{1800};

inline core::monotonic_time at(double seconds)
{
    return core::monotonic_time(std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds)));
}

inline core::wall_time wallAt(double seconds)
{
    constexpr std::chrono::seconds start{1'796'000'000};
    return core::wall_time(start
                           + std::chrono::duration_cast<std::chrono::nanoseconds>(
                               std::chrono::duration<double>(seconds)));
}

inline evidence_cell cellOf(const core::version_name &version,
                            const std::string &route,
                            int requests,
                            int faults,
                            fault_origin origin = fault_origin::Server)
{
    evidence_cell cell{{quotes, version, core::route_name{route}, core::data_centre_name{"dc"}},
                       {}};
    for (int index = 0; index < requests; ++index) {
        cell.counters.add(
            {index < faults ? origin : fault_origin::None, std::chrono::milliseconds(10)});
    }
    return cell;
}

inline document::move_state runningMove(std::uint32_t shareBasisPoints = 0)
{
    document::move_state state;
    state.id = 7;
    state.request = {quotes, oldVersion, newVersion, wallAt(0) + allowed};
    state.acceptedAt = wallAt(0);
    state.newShareBasisPoints = shareBasisPoints;
    return state;
}

inline committed_moves committed(std::uint64_t number, std::vector<document::move_state> moves)
{
    return {core::config_version{1, number, {}}, std::move(moves)};
}

} // namespace jackdawweir::moves::test
