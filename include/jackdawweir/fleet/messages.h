// Messages between the nodes and the sources of a mesh, on wire::channel::Fleet.
//
// Every node reports to every source in its list. Each source replies with what the node lacks and
// pushes later changes immediately. A lost message needs no retry: the next report repeats what the
// node holds.

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

// The requests that one node counted for a rollout since it received the rollout.
struct rollout_report {
    std::uint64_t rollout = 0;
    std::map<std::string, policy::version_counts> target;
    std::map<std::string, policy::version_counts> previous;
    // In-flight requests of this node that are queued or running at backend servers of the previous
    // version.
    std::uint64_t previousInFlight = 0;

    MSGPACK_DEFINE_ARRAY(rollout, target, previous, previousInFlight)
};

// From a node to a source, at each report interval and whenever its servers change.
struct host_report {
    host_record host;
    // The revision of the policy view in force on the node.
    std::uint64_t heldRevision = 0;
    // The position in the receiving source's directory up to which the node has it: the epoch of
    // that source's start and the number of the last change.
    std::uint64_t directoryEpoch = 0;
    std::uint64_t directoryNumber = 0;
    // Requests the newest view, or its difference to the one that the node holds.
    bool wantsView = false;
    // Requests the directory now and its changes until the next report.
    bool wantsDirectory = false;
    std::vector<rollout_report> rollouts;
    // The departed servers of the host.
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
    // True if the lists below are the whole directory and replace the one that the node holds.
    bool isWhole = false;
    std::vector<host_record> changed;
    std::vector<core::host_name> removed;
    // False if the node did not request the directory: the fields above are empty then.
    bool hasDirectory = false;
    core::data_centre_name dataCentre;
    // The newest revision that has been committed according to this source.
    std::uint64_t revision = 0;
    // The whole view, or the difference to the one that the node holds, as written by
    // policy::encodeViewChange(). Empty if the node did not request the view.
    std::string viewChange;
    // All sources in the list of this one; empty in a push.
    std::vector<core::endpoint> sources;
    // The departed servers of the node's host, including those that only an earlier process of the
    // node recorded; empty in a push.
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

// Exchanged between sources: the sources that are reachable for the sender.
struct source_hello {
    std::vector<core::endpoint> sources;
    // The departed servers, so that a restarted source has them while their node is down.
    departed_servers departed;

    MSGPACK_DEFINE_ARRAY(sources, departed)
};

// An operator's command, forwarded to the leader of the sources.
struct command_request {
    std::uint64_t number = 0;
    // A policy::command, encoded as in the replicated log of the sources.
    std::string encodedCommand;

    MSGPACK_DEFINE_ARRAY(number, encodedCommand)
};

struct command_reply {
    std::uint64_t number = 0;
    // Absent if the receiver is not the leader or does not know the outcome.
    std::optional<policy::command_result> result;

    MSGPACK_DEFINE_ARRAY(number, result)
};

// Asks the leader of the sources which revision is the newest, with a confirmed read.
struct view_request {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

// Names the revision only: every source holds the committed views, and a whole policy for each read
// would dominate the traffic between data centres.
struct view_reply {
    std::uint64_t number = 0;
    // Absent if the receiver cannot confirm which revision is the newest.
    std::optional<std::uint64_t> revision;

    MSGPACK_DEFINE_ARRAY(number, revision)
};

using message = std::variant<host_report,
                             source_update,
                             source_hello,
                             command_request,
                             command_reply,
                             view_request,
                             view_reply>;

} // namespace jackdawweir::fleet
