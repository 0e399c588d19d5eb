// Runs the move controller while this source is the leader: sums evidence, tracks the slots that
// backend servers announce, and proposes decisions.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "daemon/process_context.h"
#include "jackdawweir/membership/view.h"
#include "jackdawweir/moves/evidence.h"
#include "jackdawweir/moves/messages.h"
#include "jackdawweir/moves/move_controller.h"

namespace jackdawweir::daemon {

using slots_by_version = std::map<std::pair<core::service_name, core::version_name>, std::uint64_t>;

// Used only on the source's loop.
class source_moves
{
public:
    source_moves(process_context &context,
                 mesh_send send,
                 std::function<void(const document::move_decision &)> propose);

    // Creates a new controller when this source becomes the leader, and deletes it when the lease
    // is lost.
    void setLeadership(bool leads, const moves::committed_moves &committed);
    void setCommitted(const moves::committed_moves &committed);

    void handleMembership(const core::endpoint &peer, const membership::message &received);

    // Returns false if this source is not the leader; the sender must then send to another source.
    bool handle(const core::endpoint &peer, const moves::message &received);

    // Called every moves::evidenceInterval.
    void tick();

private:
    void updateController(const moves::move_input &input);
    void updateSlots(core::monotonic_time now);

    process_context &m_context;
    mesh_send m_send;
    std::function<void(const document::move_decision &)> m_propose;
    // One follower per data centre.
    std::vector<membership::view_follower> m_followers;
    moves::evidence_collector m_collector;
    std::optional<moves::move_controller> m_controller;
    slots_by_version m_slots;
};

} // namespace jackdawweir::daemon
