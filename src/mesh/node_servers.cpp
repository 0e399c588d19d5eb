// The part of node that knows the backend servers of its host.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "jackdawweir/mesh/node.h"

namespace jackdawweir::mesh {

using std::chrono::milliseconds;

observe::event_builder node::announcementEvent(const char *name,
                                               const fleet::server_announcement &announcement)
{
    return m_context.event(name)
        .step("announce")
        .field("instance", announcement.server.instance.value)
        .field("service", announcement.server.service.value)
        .field("server-version", announcement.server.version.value)
        .field("draining", announcement.server.isDraining ? "true" : "false")
        .field("leaving", m_servers.drainingSince(announcement.server.instance) ? "true" : "false")
        .field("sequence", std::to_string(announcement.sequence))
        .field("sent-after-start", announcement.wasSentAfterNodeStart ? "true" : "unknown")
        .field("started-at-ms", std::to_string(announcement.server.startedAt.count()));
}

bool node::isServiceKnown(const core::service_name &service) const
{
    const policy::traffic_policy &held = m_dispatcher.view().policy;
    return held.number == 0
        || std::any_of(held.services.begin(), held.services.end(), [&](const auto &each) {
               return each.name == service;
           });
}

void node::announce(fleet::server_announcement announcement, server_call_handler handler)
{
    announcement.isServiceKnown = isServiceKnown(announcement.server.service);
    const fleet::instance_name &instance = announcement.server.instance;
    const fleet::announcement_verdict verdict = m_servers.announce(announcement, m_context.now());
    if (verdict == fleet::announcement_verdict::Contradictory) {
        m_context.record(announcementEvent("announcement-contradictory", announcement).build());
        handler(server_call_outcome::Contradictory);
        return;
    }
    if (verdict == fleet::announcement_verdict::HeldBack) {
        m_context.record(announcementEvent("announcement-held-back", announcement).build());
        handler(server_call_outcome::HeldBack);
        return;
    }
    if (verdict == fleet::announcement_verdict::Outdated) {
        m_context.record(announcementEvent("announcement-outdated", announcement).build());
    } else {
        applyAnnouncement(announcement, verdict);
    }
    if (!announcement.server.isDraining) {
        handler(server_call_outcome::Accepted);
    } else if (m_servers.takesRequests(instance)) {
        handler(server_call_outcome::Superseded);
    } else {
        awaitStored(instance, std::move(handler));
    }
}

void node::setProcessAddress(core::endpoint address)
{
    m_processAddress = std::move(address);
}

const core::endpoint &node::processAddress() const
{
    return m_processAddress;
}

void node::applyAnnouncement(const fleet::server_announcement &announcement,
                             fleet::announcement_verdict verdict)
{
    if (verdict == fleet::announcement_verdict::Changed) {
        m_context.record(announcementEvent("server-announced", announcement).build());
        updateServers();
    }
    m_gateway.recordAnnouncement(
        announcement.server.instance, announcement.server.coldFor, m_context.now());
    m_gateway.markPresent(announcement.server.instance);
}

// A departure is stored at two sources, which tell all others, or at the sole one of the data
// centre. A source of the data centre that has kept its disk therefore holds it, or gets it from
// the others as soon as it reaches them.
void node::acceptHeldBackAnnouncements(const core::endpoint &peer,
                                       const fleet::source_update &update)
{
    if (!update.hasAllDepartures || !m_servers.isAwaitingDepartures(m_context.now())) {
        return;
    }
    const core::data_centre_name &own = m_context.settings.dataCentre;
    if (update.dataCentre != own && m_fleet.mayHaveSourceIn(own)) {
        return;
    }
    const std::vector<fleet::server_announcement> heldBack
        = m_servers.departuresRestored(m_context.now());
    m_context.record(m_context.event("departures-restored")
                         .peer(peer.value)
                         .step("update")
                         .field("source-data-centre", update.dataCentre.value)
                         .field("departed", std::to_string(update.departed.size()))
                         .field("held-back", std::to_string(heldBack.size()))
                         .build());
    for (const fleet::server_announcement &each : heldBack) {
        announce(each, [](server_call_outcome) {});
    }
}

void node::withdraw(const fleet::instance_name &instance,
                    std::optional<milliseconds> startedAt,
                    server_call_handler handler)
{
    const auto receivedAt
        = std::chrono::duration_cast<milliseconds>(m_context.clock.wallNow().time_since_epoch());
    const bool isKnown = m_servers.withdraw(
        fleet::server_withdrawal{instance, startedAt, receivedAt}, m_context.now());
    m_context.record(
        m_context.event("server-withdrawn")
            .step("withdraw")
            .field("instance", instance.value)
            .field("known", isKnown ? "true" : "false")
            .field("started-at-ms", startedAt ? std::to_string(startedAt->count()) : "unknown")
            .build());
    if (isKnown) {
        updateServers();
    }
    awaitStored(instance, std::move(handler));
}

void node::handleStatement(const forwarding::stated_change &change)
{
    recordStatement(change);
    if (change.event != forwarding::statement_event::LeaveStated) {
        return;
    }
    const auto receivedAt
        = std::chrono::duration_cast<milliseconds>(m_context.clock.wallNow().time_since_epoch());
    const bool isStartKnown = change.startedAt > milliseconds(0);
    const std::optional<milliseconds> startedAt
        = isStartKnown ? std::optional(change.startedAt) : std::nullopt;
    if (m_servers.withdraw(fleet::server_withdrawal{change.instance, startedAt, receivedAt},
                           m_context.now())) {
        updateServers();
    }
}

void node::awaitStored(const fleet::instance_name &instance, server_call_handler handler)
{
    const core::monotonic_time now = m_context.now();
    const std::optional<fleet::departure> awaited = m_servers.departureOf(instance, now);
    if (!awaited) {
        handler(server_call_outcome::NotStored);
        return;
    }
    m_departureReceipts.await(
        *awaited,
        m_fleet.soleSourceOf(m_context.settings.dataCentre),
        [this, instance, since = now, handler = std::move(handler)](bool isStored) {
            const auto waited = std::chrono::duration_cast<milliseconds>(m_context.now() - since);
            m_context.record(m_context.event(isStored ? "departure-stored" : "departure-not-stored")
                                 .step("store")
                                 .field("instance", instance.value)
                                 .field("waited-ms", std::to_string(waited.count()))
                                 .build());
            handler(isStored ? server_call_outcome::Accepted : server_call_outcome::NotStored);
        },
        now);
    sendDueNotice();
}

// Sends the departures of this host to the sources that store them, as long as some are awaited.
void node::sendDueNotice()
{
    const core::monotonic_time now = m_context.now();
    if (!m_departureReceipts.isNoticeDue(now)) {
        return;
    }
    const std::string notice = wire::encode(
        fleet::message(fleet::departure_notice{m_context.settings.host, m_servers.departed(now)}));
    for (const core::endpoint &source :
         m_fleet.sourcesToStoreAt(m_context.settings.dataCentre, now)) {
        m_transport.send(source, wire::channel::Fleet, notice);
    }
}

void node::recordRefusedCall(const char *step, const core::error &failure)
{
    m_context.record(m_context.event("call-refused").failure(failure).step(step).build());
}

void node::updateServers()
{
    std::vector<forwarding::hosted_server> hostedServers;
    for (fleet::server_record &each : m_servers.records(m_context.now())) {
        const auto since = m_servers.drainingSince(each.instance);
        hostedServers.push_back(forwarding::hosted_server{std::move(each), since});
    }
    m_gateway.setServers(hostedServers);
    scheduleReports();
}

void node::updateGatewayPolicy()
{
    const core::data_centre_name &dataCentre = m_context.settings.dataCentre;
    const bool wasEvacuated = m_gateway.isEvacuated();
    m_gateway.setPolicy(forwarding::makeGatewayPolicy(m_dispatcher.view(), dataCentre),
                        m_context.now());
    const bool isEvacuated = m_gateway.isEvacuated();
    if (isEvacuated != wasEvacuated) {
        m_context.record(
            m_context.event(isEvacuated ? "data-centre-evacuated" : "data-centre-returned")
                .step("update")
                .field("revision", std::to_string(m_dispatcher.revision()))
                .field("running", std::to_string(m_gateway.openRequests()))
                .build());
    }
}

void node::handleMessage(const core::endpoint &peer, const fleet::departure_receipt &receipt)
{
    m_departureReceipts.add(peer, receipt.stored, m_context.now());
}

} // namespace jackdawweir::mesh
