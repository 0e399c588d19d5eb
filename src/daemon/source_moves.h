// Drives the move controller while this source leads: sums evidence, follows the announced slots,
// and proposes decisions.

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

// Lives on the source's loop.
class source_moves
{
public:
    source_moves(process_context &context,
                 mesh_send send,
                 std::function<void(const document::move_decision &)> propose);

    // A new leader starts with a new controller; one that lost the lease drops it.
    void setLeads(bool leads, const moves::committed_moves &committed);
    void setCommitted(const moves::committed_moves &committed);

    void handleMembership(const core::endpoint &peer, const membership::message &received);

    // Returns false where this source does not lead, so that the sender must go elsewhere.
    bool handle(const core::endpoint &peer, const moves::message &received);

    // Called every moves::evidenceInterval.
    void tick();

private:
    void feed(const moves::move_input &input);
    void feedSlots(core::monotonic_time now);

    process_context &m_context;
    mesh_send m_send;
    std::function<void(const document::move_decision &)> m_propose;
    // One follower for each data centre.
    std::vector<membership::view_follower> m_followers;
    moves::evidence_collector m_collector;
    std::optional<moves::move_controller> m_controller;
    slots_by_version m_slots;
};

} // namespace jackdawweir::daemon
