// The replicated state of the sources of a mesh: the traffic policy, every change that was
// accepted, the version that each service runs, and rollouts. All replicas apply the same commands
// in the same order and reach the same state.
//
//     policy_state state;
//     const command_result result = state.apply(command, entry.index);

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/policy/model.h"
#include "jackdawweir/policy/rollout.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::policy {

// Replaces the policy whose number is `base`.
struct replace_policy {
    std::uint64_t base = 0;
    traffic_policy policy;

    MSGPACK_DEFINE_ARRAY(base, policy)
};

struct begin_rollout {
    core::service_name service;
    core::version_name target;
    std::chrono::milliseconds duration{0};
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(service, target, duration, at)
};

// A decision of the leader on a running rollout.
struct advance_rollout {
    core::service_name service;
    std::uint64_t id = 0;
    rollout_phase phase = rollout_phase::Running;
    std::uint32_t share = 0;
    std::string reason;

    MSGPACK_DEFINE_ARRAY(service, id, phase, share, reason)
};

// Records the version of the backend servers that a service had first. Only a rollout changes it.
struct establish_version {
    core::service_name service;
    core::version_name version;

    MSGPACK_DEFINE_ARRAY(service, version)
};

// The payload of a log entry: wire::encode(command). New commands are added at the end.
using command = std::variant<replace_policy, begin_rollout, advance_rollout, establish_version>;

enum class command_outcome : std::uint8_t {
    Accepted,
    Conflict, // Another policy than the base is current, or another rollout runs.
    Refused, // The command breaks a rule.
};

} // namespace jackdawweir::policy

MSGPACK_ADD_ENUM(jackdawweir::policy::command_outcome)

namespace jackdawweir::policy {

struct command_result {
    command_outcome outcome = command_outcome::Refused;
    // The number of the current policy.
    std::uint64_t current = 0;
    // Refused: why.
    std::string reason;

    friend bool operator==(const command_result &, const command_result &) = default;

    MSGPACK_DEFINE_ARRAY(outcome, current, reason)
};

// What nodes need of the state. A greater revision is newer.
struct policy_view {
    // The index of the log entry that made this state.
    std::uint64_t revision = 0;
    traffic_policy policy;
    // The version that each service runs.
    std::map<core::service_name, core::version_name> versions;
    std::vector<rollout> rollouts;

    MSGPACK_DEFINE_ARRAY(revision, policy, versions, rollouts)
};

// Returns the latest rollout of a service, or nullptr where it has none.
const rollout *findRollout(const policy_view &view, const core::service_name &service);

class policy_state
{
public:
    // A repeated order for the rollout that was ordered last is the same order within this time.
    static constexpr std::chrono::seconds repeatWindow{10};

    // Applies the command of the log entry at `index`.
    command_result apply(const command &committed, std::uint64_t index);

    // Applies the payload of a log entry. Errors: DataLoss where it is no command.
    core::result<command_result> applyEncoded(std::string_view payload, std::uint64_t index);

    // Returns the result of a change that was accepted before, which holds for ever.
    std::optional<command_result> findAccepted(const replace_policy &change) const;

    const policy_view &view() const;
    const rollout *findRollout(const core::service_name &service) const;

    // Returns the whole state for a snapshot; equal states have equal bytes.
    std::string encode() const;
    // Replaces the state. On an error nothing changes. Errors: DataLoss.
    core::status restore(std::string_view bytes);

private:
    struct state {
        policy_view view;
        // Digests of the changes that were accepted.
        std::vector<core::digest> accepted;

        MSGPACK_DEFINE_ARRAY(view, accepted)
    };

    command_result applyCommand(const replace_policy &change, std::uint64_t index);
    command_result applyCommand(const begin_rollout &order, std::uint64_t index);
    command_result applyCommand(const advance_rollout &decision, std::uint64_t index);
    command_result applyCommand(const establish_version &seen, std::uint64_t index);
    command_result accepted() const;
    command_result conflict(std::string reason) const;
    rollout *rolloutOf(const core::service_name &service);

    state m_state;
};

} // namespace jackdawweir::policy
