// A rollout moves the traffic of one service from the version it runs to a new one by a set time.

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
    RolledBack, // The new version gets no traffic.
};

const char *toString(rollout_phase phase);

// Shares are counted in ten-thousandths.
constexpr std::uint32_t wholeShare = 10'000;

} // namespace jackdawweir::policy

MSGPACK_ADD_ENUM(jackdawweir::policy::rollout_phase)

namespace jackdawweir::policy {

struct rollout {
    // The log index of the order, which tells two rollouts of one service apart.
    std::uint64_t id = 0;
    core::service_name service;
    core::version_name target;
    // Empty where the service had no version before.
    core::version_name previous;
    std::chrono::milliseconds duration{0};
    core::wall_time orderedAt;
    rollout_phase phase = rollout_phase::Running;
    // The part of the service's requests that goes to the target, in ten-thousandths.
    std::uint32_t share = 0;
    // Why the phase or share was chosen, for operators.
    std::string reason;

    friend bool operator==(const rollout &, const rollout &) = default;

    MSGPACK_DEFINE_ARRAY(id, service, target, previous, duration, orderedAt, phase, share, reason)
};

} // namespace jackdawweir::policy
