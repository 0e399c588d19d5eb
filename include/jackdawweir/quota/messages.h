// Messages that keep the quotas of workspaces over all hosts, parts of fleet::message.
//
// A node reports the requests that it has counted to one source, which replies with a
// quota_notice. The sources exchange the sums of their nodes as usage_exchange. All counts are
// those since the sender's previous message; a lost message is not repeated, since the window of a
// quota is short and the bounds leave room for one interval.

#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/policy/model.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::quota {

// Identifies a workspace in messages, in fewer bytes than its name.
using workspace_id = std::uint64_t;

workspace_id idOf(const policy::workspace_name &name);

struct workspace_usage {
    workspace_id workspace = 0;
    // Requests that were admitted, less those that were admitted earlier and did not run.
    std::int64_t admitted = 0;
    // Requests that were admitted or refused.
    std::uint64_t offered = 0;

    friend bool operator==(const workspace_usage &, const workspace_usage &) = default;

    MSGPACK_DEFINE_ARRAY(workspace, admitted, offered)
};

// From a node to a source.
struct usage_report {
    // The nodes of the mesh as the sender knows them; see host_census.
    std::uint32_t knownNodes = 0;
    std::vector<workspace_usage> usages;

    MSGPACK_DEFINE_ARRAY(knownNodes, usages)
};

// The part of a workspace's requests that nodes admit.
struct admission_share {
    workspace_id workspace = 0;
    // In parts of wholeAdmission.
    std::uint32_t share = 0;

    friend bool operator==(const admission_share &, const admission_share &) = default;

    MSGPACK_DEFINE_ARRAY(workspace, share)
};

constexpr std::uint32_t wholeAdmission = 10'000;

// How many requests of a workspace all nodes together have counted recently.
struct recent_demand {
    workspace_id workspace = 0;
    std::uint64_t requests = 0;

    friend bool operator==(const recent_demand &, const recent_demand &) = default;

    MSGPACK_DEFINE_ARRAY(workspace, requests)
};

// From a source to a node, the reply to its usage_report.
struct quota_notice {
    // All workspaces whose requests are not all admitted.
    std::vector<admission_share> limited;
    // For the workspaces in the node's report.
    std::vector<recent_demand> demands;
    // The time until the node's next report.
    std::chrono::milliseconds reportInterval{0};

    MSGPACK_DEFINE_ARRAY(limited, demands, reportInterval)
};

// From a source to all others.
struct usage_exchange {
    // The nodes that report to the sender.
    std::uint32_t nodes = 0;
    std::vector<workspace_usage> usages;

    MSGPACK_DEFINE_ARRAY(nodes, usages)
};

} // namespace jackdawweir::quota
