// Messages between the nodes and the sources of a mesh, on wire::channel::Fleet.
//
// Every node reports to every source it knows; each source answers with what the node lacks and
// pushes changes at once. A message may be lost: the next report says again what the node holds.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/policy/rollout_controller.h"
#include "jackdawweir/policy/view_delta.h"

namespace jackdawweir::fleet {

// What one node saw of a rollout since it learned of it.
struct rollout_report {
    std::uint64_t rollout = 0;
    std::map<std::string, policy::version_counts> target;
    std::map<std::string, policy::version_counts> previous;
    // Requests of this node that wait or run at backend servers of the previous version.
    std::uint64_t previousInFlight = 0;

    MSGPACK_DEFINE_ARRAY(rollout, target, previous, previousInFlight)
};

// From a node to a source, at each report interval and whenever its servers change.
struct host_report {
    host_record host;
    // The revision of the policy view in force on the node.
    std::uint64_t heldRevision = 0;
    // The directory of the receiving source that the node holds: the start of that source and the
    // number of the last change.
    std::uint64_t directoryEpoch = 0;
    std::uint64_t directoryNumber = 0;
    // Asks for the newest view, or its difference to the one held.
    bool wantsView = false;
    // Asks for the directory now and for its changes until the next report.
    bool wantsDirectory = false;
    std::vector<rollout_report> rollouts;
    // The servers of the host that have left.
    std::vector<departure> departed;

    MSGPACK_DEFINE_ARRAY(host,
                         heldRevision,
                         directoryEpoch,
                         directoryNumber,
                         wantsView,
                         wantsDirectory,
                         rollouts,
                         departed)
};

// From a source to a node.
struct source_update {
    std::uint64_t directoryEpoch = 0;
    std::uint64_t directoryNumber = 0;
    // True where the lists below hold the whole directory and replace what the node holds.
    bool isWhole = false;
    std::vector<host_record> changed;
    std::vector<core::host_name> removed;
    // False where the node did not ask for the directory: the fields above are empty then.
    bool hasDirectory = false;
    core::data_centre_name dataCentre;
    // The newest revision that this source knows as committed.
    std::uint64_t revision = 0;
    // Where the node asked for the view: the whole, or the difference to the one it holds, as
    // policy::encodeViewChange() writes it. Empty otherwise.
    std::string viewChange;
    // All sources that this one knows; empty in a push.
    std::vector<core::endpoint> sources;
    // The servers of the node's host that have left, also those that only an earlier process of the
    // node heard of; empty in a push.
    std::vector<departure> departed;

    MSGPACK_DEFINE_ARRAY(directoryEpoch,
                         directoryNumber,
                         isWhole,
                         changed,
                         removed,
                         hasDirectory,
                         dataCentre,
                         revision,
                         viewChange,
                         sources,
                         departed)
};

// Between sources: the sources that the sender has heard from lately.
struct source_hello {
    std::vector<core::endpoint> sources;
    // The servers that have left, so that a started source knows them while their node is down.
    departed_servers departed;

    MSGPACK_DEFINE_ARRAY(sources, departed)
};

// An operator's order, passed on to the source that leads.
struct order_request {
    std::uint64_t number = 0;
    // A policy::command as the log of the sources holds it.
    std::string order;

    MSGPACK_DEFINE_ARRAY(number, order)
};

struct order_reply {
    std::uint64_t number = 0;
    // Absent where the receiver does not lead or cannot tell the outcome.
    std::optional<policy::command_result> result;

    MSGPACK_DEFINE_ARRAY(number, result)
};

// Asks the source that leads for the newest view, with a confirmed read.
struct view_request {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

struct view_reply {
    std::uint64_t number = 0;
    // Absent where the receiver cannot be sure which view is the newest.
    std::optional<policy::policy_view> view;

    MSGPACK_DEFINE_ARRAY(number, view)
};

using message = std::variant<host_report,
                             source_update,
                             source_hello,
                             order_request,
                             order_reply,
                             view_request,
                             view_reply>;

} // namespace jackdawweir::fleet
