// Sends the requests of this daemon's console to the sources: finds the leader, resends a request
// whose reply was lost, and fails it at a deadline.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "daemon/control_messages.h"
#include "daemon/process_context.h"
#include "jackdawweir/core/call_numbers.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::daemon {

using submit_handler = std::function<void(const core::result<source::submission_result> &)>;
using state_handler = std::function<void(const core::result<state_reply> &)>;

// Used only on the node's loop.
class source_client
{
public:
    source_client(std::vector<core::endpoint> sources, mesh_send send);

    // Sends a submission until a source has decided it or the deadline expires. A resent submission
    // has the same id, so the document is accepted at most once. Errors: Unavailable, after which
    // the outcome is unknown.
    void submit(submit_request request, submit_handler done, core::monotonic_time now);

    // Errors: Unavailable if no source replies before the deadline.
    void requestState(state_handler done, core::monotonic_time now);

    void
    handle(const core::endpoint &peer, const control_message &received, core::monotonic_time now);

    void tick(core::monotonic_time now);

private:
    struct pending_request {
        std::variant<submit_request, state_request> request;
        submit_handler submitDone;
        state_handler stateDone;
        core::monotonic_time deadline;
        core::monotonic_time startedAt;
        core::monotonic_time resendAt;
        std::string lastReason;
    };

    void add(std::uint64_t requestId, pending_request added, core::monotonic_time now);
    void sendRequest(pending_request &pendingRequest, core::monotonic_time now);
    void fail(pending_request &pendingRequest);
    void handleMessage(const submit_reply &received);
    void handleMessage(const state_reply &received);
    void handleMessage(const not_leader &received, core::monotonic_time now);

    std::vector<core::endpoint> m_sources;
    mesh_send m_send;
    std::size_t m_sourceIndex = 0;
    core::random_engine m_engine;
    core::call_numbers m_requestIds;
    std::map<std::uint64_t, pending_request> m_pending;
};

} // namespace jackdawweir::daemon
