// The replicated state machine of the sources of a mesh. It holds the traffic policy, the digests
// of all accepted changes, the version that each service runs, the rollouts, and the data centres
// that are evacuated. All replicas apply the same commands in the same order and reach the same
// state.
//
//     policy_state state;
//     const command_result result = state.apply(command, entry.index);

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

// A decision of the source leader on a running rollout.
struct advance_rollout {
    core::service_name service;
    std::uint64_t id = 0;
    rollout_phase phase = rollout_phase::Running;
    std::uint32_t share = 0;
    std::string reason;

    MSGPACK_DEFINE_ARRAY(service, id, phase, share, reason)
};

// Records the version of a service's first backend servers. Only a rollout changes the version
// later.
struct establish_version {
    core::service_name service;
    core::version_name version;

    MSGPACK_DEFINE_ARRAY(service, version)
};

// Requests that nothing more be sent to the backend servers of a data centre. It may hold no host
// yet, or none any more. A repeat is accepted and changes nothing.
struct begin_evacuation {
    core::data_centre_name dataCentre;

    MSGPACK_DEFINE_ARRAY(dataCentre)
};

// Ends the evacuation of a data centre. A repeat is accepted and changes nothing.
struct end_evacuation {
    core::data_centre_name dataCentre;

    MSGPACK_DEFINE_ARRAY(dataCentre)
};

// The payload of a log entry is wire::encode(command). New commands must be added at the end, since
// stored commands are identified by position.
using command = std::variant<replace_policy,
                             begin_rollout,
                             advance_rollout,
                             establish_version,
                             begin_evacuation,
                             end_evacuation>;

enum class command_outcome : std::uint8_t {
    Accepted,
    Conflict, // The base is not the current policy, or another rollout is running.
    Refused, // The command violates a rule.
};

} // namespace jackdawweir::policy

MSGPACK_ADD_ENUM(jackdawweir::policy::command_outcome)

namespace jackdawweir::policy {

struct command_result {
    command_outcome outcome = command_outcome::Refused;
    // The number of the current policy.
    std::uint64_t current = 0;
    // Why the command was not accepted.
    std::string reason;

    friend bool operator==(const command_result &, const command_result &) = default;

    MSGPACK_DEFINE_ARRAY(outcome, current, reason)
};

// The part of the state that nodes need. A greater revision is newer.
struct policy_view {
    // The index of the log entry that produced this state.
    std::uint64_t revision = 0;
    traffic_policy policy;
    // The version that each service runs.
    std::map<core::service_name, core::version_name> versions;
    std::vector<rollout> rollouts;
    // The data centres whose backend servers get no requests.
    std::set<core::data_centre_name> evacuated;
    // The revision at which the latest evacuation of a data centre ended. A node that was out of
    // contact for the whole of an evacuation learns of it from here.
    std::map<core::data_centre_name, std::uint64_t> evacuationEnds;

    MSGPACK_DEFINE_ARRAY(revision, policy, versions, rollouts, evacuated, evacuationEnds)
};

// Returns the latest rollout of a service, or nullptr if it has none.
const rollout *findRollout(const policy_view &view, const core::service_name &service);

class policy_state
{
public:
    // The longest name of a data centre that an evacuation may have.
    static constexpr std::size_t maxDataCentreNameBytes = 1024;

    // A begin_rollout for the target of the latest rollout is accepted as a resend within this
    // time. Later, it starts a new rollout if the latest one was rolled back.
    static constexpr std::chrono::seconds repeatWindow{10};

    // Applies the command of the log entry at `index`.
    command_result apply(const command &committed, std::uint64_t index);

    // Applies the payload of a log entry. Errors: DataLoss if it is not a command.
    core::result<command_result> applyEncoded(std::string_view payload, std::uint64_t index);

    // Returns the result for a change that was accepted before, or nothing. An accepted change
    // stays accepted, so that a resend gets the same outcome at any later time.
    std::optional<command_result> findAccepted(const replace_policy &change) const;

    const policy_view &view() const;
    const rollout *findRollout(const core::service_name &service) const;

    // Returns the whole state, encoded for a snapshot. Equal states have equal bytes.
    std::string encode() const;
    // Replaces the state with an encoded one. The state is unchanged on an error. Errors: DataLoss.
    core::status restore(std::string_view bytes);

private:
    struct state {
        policy_view view;
        // Digests of the changes that were accepted.
        std::vector<core::digest> accepted;

        MSGPACK_DEFINE_ARRAY(view, accepted)
    };

    command_result applyCommand(const replace_policy &change, std::uint64_t index);
    command_result applyCommand(const begin_rollout &request, std::uint64_t index);
    command_result applyCommand(const advance_rollout &decision, std::uint64_t index);
    command_result applyCommand(const establish_version &observed, std::uint64_t index);
    command_result applyCommand(const begin_evacuation &request, std::uint64_t index);
    command_result applyCommand(const end_evacuation &request, std::uint64_t index);
    command_result accepted() const;
    command_result conflict(std::string reason) const;
    command_result refused(std::string reason) const;
    rollout *rolloutOf(const core::service_name &service);

    state m_state;
};

} // namespace jackdawweir::policy
