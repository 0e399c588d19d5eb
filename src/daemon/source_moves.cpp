#include "daemon/source_moves.h"

#include <variant>

#include "jackdawweir/distribution/rendezvous.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

void addSlots(const membership::server_table &table, slots_by_version &slots)
{
    for (const auto &[address, server] : table.servers()) {
        if (server.state == membership::server_state::Ready) {
            slots[{server.service, server.version}] += server.slots;
        }
    }
}

} // namespace

source_moves::source_moves(process_context &context,
                           mesh_send send,
                           std::function<void(const document::move_decision &)> propose)
    : m_context(context)
    , m_send(std::move(send))
    , m_propose(std::move(propose))
{
    for (const settings::data_centre_settings &each : context.settings.dataCentres) {
        m_followers.emplace_back(distribution::chooseRelays(each.name, each.relayCandidates),
                                 core::host_name{},
                                 context.incarnation);
    }
}

void source_moves::setLeadership(bool leads, const moves::committed_moves &committed)
{
    m_controller.reset();
    m_slots.clear();
    if (leads) {
        m_controller.emplace(moves::controller_settings{});
        updateController(committed);
    }
}

void source_moves::setCommitted(const moves::committed_moves &committed)
{
    updateController(committed);
}

void source_moves::handleMembership(const core::endpoint &peer, const membership::message &received)
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    for (membership::view_follower &each : m_followers) {
        for (const membership::effect &wanted : each.handle(peer, received, now)) {
            if (const auto *sent = std::get_if<membership::send_message>(&wanted)) {
                m_send(sent->peer, wire::channel::Membership, wire::encode(sent->body));
            }
        }
    }
}

bool source_moves::handle(const core::endpoint &peer, const moves::message &received)
{
    if (!m_controller) {
        return false;
    }
    if (const auto *report = std::get_if<moves::evidence_report>(&received)) {
        const moves::message ack = m_collector.accept(*report);
        m_send(peer, wire::channel::Moves, wire::encode(ack));
    } else if (const auto *open = std::get_if<moves::breaker_report>(&received)) {
        updateController(*open);
    }
    return true;
}

void source_moves::tick()
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    for (membership::view_follower &each : m_followers) {
        for (const membership::effect &wanted : each.tick(now)) {
            if (const auto *sent = std::get_if<membership::send_message>(&wanted)) {
                m_send(sent->peer, wire::channel::Membership, wire::encode(sent->body));
            }
        }
    }
    if (!m_controller) {
        return;
    }
    updateSlots(now);
    const moves::evidence_batch batch{m_collector.takeInterval()};
    if (!batch.cells.empty()) {
        updateController(batch);
    }
    updateController(moves::controller_tick{m_context.clock.wallNow()});
}

void source_moves::updateSlots(core::monotonic_time now)
{
    slots_by_version slots;
    for (const membership::view_follower &follower : m_followers) {
        for (const core::data_centre_name &dataCentre : follower.dataCentres()) {
            const auto lastConfirmedAt = follower.lastConfirmedAt(dataCentre);
            if (lastConfirmedAt && now - *lastConfirmedAt <= membership::dataCentreTimeout) {
                addSlots(*follower.tableOf(dataCentre), slots);
            }
        }
    }
    for (const auto &[key, before] : m_slots) {
        slots.try_emplace(key, 0);
    }
    for (const auto &[key, count] : slots) {
        const auto known = m_slots.find(key);
        if (known == m_slots.end() || known->second != count) {
            updateController(moves::announced_slots{key.first, key.second, count});
        }
    }
    m_slots = std::move(slots);
}

void source_moves::updateController(const moves::move_input &input)
{
    if (!m_controller) {
        return;
    }
    for (const moves::move_effect &each :
         m_controller->handle(input, m_context.clock.monotonicNow())) {
        m_propose(std::get<moves::propose_decision>(each).decision);
    }
}

} // namespace jackdawweir::daemon
