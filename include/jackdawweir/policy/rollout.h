// A rollout moves the traffic of one service from its current version to a new one within a given
// duration.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::policy {

enum class rollout_phase : std::uint8_t {
    Running,
    Completed, // All traffic goes to the new version.
    RolledBack, // No traffic goes to the new version.
};

const char *toString(rollout_phase phase);

// Shares are counted in ten-thousandths.
constexpr std::uint32_t wholeShare = 10'000;

} // namespace jackdawweir::policy

MSGPACK_ADD_ENUM(jackdawweir::policy::rollout_phase)

namespace jackdawweir::policy {

struct rollout {
    // The index of the log entry that began the rollout; it distinguishes the rollouts of a
    // service.
    std::uint64_t id = 0;
    core::service_name service;
    core::version_name target;
    // Empty if the service had no version before.
    core::version_name previous;
    std::chrono::milliseconds duration{0};
    core::wall_time orderedAt;
    rollout_phase phase = rollout_phase::Running;
    // The part of the service's requests that goes to the target, in ten-thousandths.
    std::uint32_t share = 0;
    // Why the phase or the share was chosen, as text for operators.
    std::string reason;

    friend bool operator==(const rollout &, const rollout &) = default;

    MSGPACK_DEFINE_ARRAY(id, service, target, previous, duration, orderedAt, phase, share, reason)
};

} // namespace jackdawweir::policy
