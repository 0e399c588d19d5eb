// Messages between the nodes and the sources of a mesh, on wire::channel::Fleet.
//
// Every node reports to the sources of its data centre, and to two others while those are silent
// or out of contact with the leader. Each source replies with what the node lacks and pushes later
// changes. The sources exchange the hosts that report to them in the same way, so that a change
// crosses to another data centre once for each source there. A lost message needs no retry: the
// next report repeats what the sender holds.

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
#include "jackdawweir/quota/messages.h"

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

// A source as others advertise it.
struct source_record {
    core::endpoint endpoint;
    // Empty until the source has been heard.
    core::data_centre_name dataCentre;

    friend bool operator==(const source_record &, const source_record &) = default;

    MSGPACK_DEFINE_ARRAY(endpoint, dataCentre)
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
    // Requests the list of sources.
    bool wantsSources = false;
    // Only one of the sources that a node reports to passes its rollout reports on to the leader.
    bool passOnRollouts = false;

    MSGPACK_DEFINE_ARRAY(host,
                         heldRevision,
                         directoryEpoch,
                         directoryNumber,
                         wantsView,
                         wantsDirectory,
                         rollouts,
                         departed,
                         wantsSources,
                         passOnRollouts)
};

// From a source to a node, or to another source that has requested its directory.
struct source_update {
    std::uint64_t directoryEpoch = 0;
    std::uint64_t directoryNumber = 0;
    // The number of the change that the lists below follow. A recipient that holds an earlier one
    // has missed an update.
    std::uint64_t directoryBase = 0;
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
    // Whether this source leads or is in contact with the leader. If not, it may miss changes.
    bool isCurrent = false;
    // All sources in the list of this one; empty if the node did not request them.
    std::vector<source_record> sources;
    // To a node: the departed servers of its host, including those that only an earlier process of
    // the node recorded; empty in a push.
    std::vector<departure> departed;
    // Whether `departed` holds all departures that this source has stored for as long as they are
    // kept. False in a push, and while the source may have lost some with its disk.
    bool hasAllDepartures = false;
    // To a source: departed servers of all hosts. All of them with a whole directory, otherwise the
    // recent ones.
    departed_servers departedServers;

    MSGPACK_DEFINE_ARRAY(directoryEpoch,
                         directoryNumber,
                         directoryBase,
                         isWhole,
                         changed,
                         removed,
                         hasDirectory,
                         dataCentre,
                         revision,
                         viewChange,
                         isCurrent,
                         sources,
                         departed,
                         departedServers,
                         hasAllDepartures)
};

// Exchanged between sources.
struct source_hello {
    core::data_centre_name dataCentre;
    // The sources that the sender knows; empty in most hellos, since the list seldom changes.
    std::vector<source_record> sources;
    // Requests the hosts that report to the receiver, from this position on, and their changes
    // until the next hello.
    bool wantsDirectory = false;
    std::uint64_t directoryEpoch = 0;
    std::uint64_t directoryNumber = 0;

    MSGPACK_DEFINE_ARRAY(dataCentre, sources, wantsDirectory, directoryEpoch, directoryNumber)
};

// The rollout reports of a node, passed on to the leader of the sources.
struct rollout_evidence {
    core::host_name host;
    std::vector<rollout_report> rollouts;

    MSGPACK_DEFINE_ARRAY(host, rollouts)
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

// From a node to several sources, until enough of them have stored the departures on disk.
struct departure_notice {
    core::host_name host;
    std::vector<departure> departed;

    MSGPACK_DEFINE_ARRAY(host, departed)
};

// The response to a departure_notice, sent once the departures are on disk.
struct departure_receipt {
    // All departures of the host that the source has stored.
    std::vector<departure> stored;

    MSGPACK_DEFINE_ARRAY(stored)
};

using message = std::variant<host_report,
                             source_update,
                             source_hello,
                             command_request,
                             command_reply,
                             view_request,
                             view_reply,
                             rollout_evidence,
                             departure_notice,
                             departure_receipt,
                             quota::usage_report,
                             quota::quota_notice,
                             quota::usage_exchange>;

} // namespace jackdawweir::fleet
