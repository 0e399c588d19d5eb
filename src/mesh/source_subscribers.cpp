// The part of source that sends hosts, views and departures to nodes and to other sources.

#include <algorithm>
#include <utility>

#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// Departures that are at most this old are repeated with each update to another source, since an
// update may be lost with its link.
constexpr milliseconds repeatDeparturesFor{3'000};

// A node that has sent nothing for this long gets no more updates.
constexpr milliseconds removeNodeAfter{2'000};

// The number of views kept; a node that holds an older view gets the whole newest view.
constexpr std::size_t viewsKept = 16;

} // namespace

void source::handleMessage(const core::endpoint &peer, const fleet::host_report &reported)
{
    const core::monotonic_time now = m_context.now();
    subscriber &recipient = m_subscribers[peer];
    recipient.lastSeenAt = now;
    addRollouts(reported.host.host, reported.rollouts);
    if (reported.passOnRollouts) {
        passOnRollouts(reported.host.host, reported.rollouts);
    }
    if (m_directory.report(reported.host, reported.departed, now)) {
        m_context.record(m_context.event("host-changed")
                             .peer(peer.value)
                             .step("report")
                             .field("reported-host", reported.host.host.value)
                             .field("servers", std::to_string(reported.host.servers.size()))
                             .field("leaving", reported.host.isLeaving ? "true" : "false")
                             .build());
        schedulePush();
    }
    recipient.wantsDirectory = reported.wantsDirectory;
    if (m_transport.isCongested(peer)) {
        // The node asks again with its next report.
        return;
    }
    fleet::source_update reply = revisionUpdate();
    if (reported.wantsDirectory) {
        addDirectory(recipient, reported.directoryEpoch, reported.directoryNumber, reply);
    }
    if (reported.wantsSources) {
        reply.sources = sourceRecords();
    }
    reply.departed = m_directory.departed(reported.host.host, now);
    reply.hasAllDepartures = hasAllDepartures();
    if (reported.wantsView) {
        addView(reported.heldRevision, reply);
    }
    recipient.sentDirectoryNumber = reply.directoryNumber;
    recipient.sentRevision = reply.revision;
    send(peer, reply);
}

void source::addRollouts(const core::host_name &host,
                         const std::vector<fleet::rollout_report> &reports)
{
    if (!reports.empty()) {
        m_rollouts.addReports(host, reports, m_context.now());
    }
}

void source::passOnRollouts(const core::host_name &host,
                            const std::vector<fleet::rollout_report> &reports)
{
    const core::endpoint leader = m_log.leader();
    if (!reports.empty() && !leader.empty() && leader != m_context.settings.mesh) {
        send(leader, fleet::rollout_evidence{host, reports});
    }
}

void source::handleMessage(const core::endpoint & /*peer*/, const fleet::rollout_evidence &evidence)
{
    addRollouts(evidence.host, evidence.rollouts);
}

fleet::source_update source::revisionUpdate() const
{
    fleet::source_update update;
    update.dataCentre = m_context.settings.dataCentre;
    update.revision = m_state.view().revision;
    update.isCurrent = isCurrent();
    return update;
}

void source::addDirectory(const subscriber &recipient,
                          std::uint64_t epoch,
                          std::uint64_t number,
                          fleet::source_update &update) const
{
    fleet::directory_changes changes = hostsFor(recipient, epoch, number);
    update.directoryBase = number;
    update.isWhole = changes.isWhole;
    update.changed = std::move(changes.changed);
    update.removed = std::move(changes.removed);
    update.directoryEpoch = m_directory.epoch();
    update.directoryNumber = hostsNumberFor(recipient);
    update.hasDirectory = true;
    if (recipient.kind != subscriber_kind::Node) {
        const core::monotonic_time now = m_context.now();
        update.departedServers = update.isWhole
            ? m_directory.departed(now)
            : m_directory.departedWithin(repeatDeparturesFor, now);
    }
}

fleet::directory_changes
source::hostsFor(const subscriber &recipient, std::uint64_t epoch, std::uint64_t number) const
{
    switch (recipient.kind) {
    case subscriber_kind::OwnSource:
        return m_directory.since(epoch, number);
    case subscriber_kind::OtherSource:
        return m_exportedHosts.since(epoch, number);
    case subscriber_kind::Node:
        break;
    }
    return m_publishedHosts.since(epoch, number);
}

std::uint64_t source::hostsNumberFor(const subscriber &recipient) const
{
    switch (recipient.kind) {
    case subscriber_kind::OwnSource:
        return m_directory.number();
    case subscriber_kind::OtherSource:
        return m_exportedHosts.number();
    case subscriber_kind::Node:
        break;
    }
    return m_publishedHosts.number();
}

void source::updateHosts()
{
    const core::monotonic_time now = m_context.now();
    const std::vector<fleet::host_record> direct = m_directory.hosts();
    const auto mergedWith = [&](std::vector<fleet::host_record> others) {
        others.insert(others.end(), direct.begin(), direct.end());
        return fleet::newestOfEachHost(std::move(others));
    };
    m_exportedHosts.assign(
        mergedWith(m_remoteHosts.hostsListedIn(m_context.settings.dataCentre, now)));
    m_publishedHosts.assign(mergedWith(m_remoteHosts.hosts(now)));
}

void source::storeView()
{
    const std::uint64_t revision = m_state.view().revision;
    if (revision == 0 || (!m_views.empty() && m_views.back().revision == revision)) {
        return;
    }
    m_views.push_back(policy::forNodes(m_state.view()));
    if (m_views.size() > viewsKept) {
        m_views.pop_front();
    }
}

void source::addView(std::uint64_t heldRevision, fleet::source_update &update)
{
    storeView();
    if (m_views.empty() || heldRevision >= m_views.back().revision) {
        return;
    }
    if (m_viewChangesRevision != m_views.back().revision) {
        m_viewChangesRevision = m_views.back().revision;
        m_viewChanges.clear();
    }
    std::string &encoded = m_viewChanges[heldRevision];
    if (encoded.empty()) {
        encoded = policy::encodeViewChange(changeFrom(heldRevision));
    }
    update.viewChange = encoded;
}

policy::view_change source::changeFrom(std::uint64_t heldRevision) const
{
    const auto held = std::find_if(m_views.begin(), m_views.end(), [&](const auto &each) {
        return each.revision == heldRevision;
    });
    if (held == m_views.end()) {
        return m_views.back();
    }
    return policy::makeDelta(*held, m_views.back());
}

// Changes are pushed at the next tick, so that many at a time, such as the reports of all nodes of
// a data centre that starts, cost one update for each subscriber.
void source::schedulePush()
{
    m_isPushScheduled = true;
}

void source::pushUpdates()
{
    const core::monotonic_time now = m_context.now();
    const std::uint64_t revision = m_state.view().revision;
    std::erase_if(m_subscribers, [now](const auto &each) {
        return now >= each.second.lastSeenAt + removeNodeAfter;
    });
    storeView();
    updateHosts();
    for (auto &[peer, recipient] : m_subscribers) {
        const bool needsDirectory = recipient.wantsDirectory
            && recipient.sentDirectoryNumber != hostsNumberFor(recipient);
        const bool needsRevision
            = recipient.kind == subscriber_kind::Node && recipient.sentRevision != revision;
        if ((!needsRevision && !needsDirectory) || m_transport.isCongested(peer)) {
            continue;
        }
        fleet::source_update outgoing = revisionUpdate();
        if (recipient.wantsDirectory) {
            addDirectory(recipient, m_directory.epoch(), recipient.sentDirectoryNumber, outgoing);
            recipient.sentDirectoryNumber = outgoing.directoryNumber;
        }
        recipient.sentRevision = outgoing.revision;
        send(peer, outgoing);
    }
}

} // namespace jackdawweir::mesh
