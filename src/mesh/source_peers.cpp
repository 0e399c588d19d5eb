// The part of source that knows the other sources and exchanges hosts with them.

#include <algorithm>
#include <set>
#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// A source that sends no hello for this long is replaced as the one that the directory of its data
// centre is requested from: two hellos and a pause of its process.
constexpr milliseconds helloTimeout{1'200};

// A source without contact with the leader for this long may miss changes, and its nodes use other
// sources as well. Longer than an election.
constexpr milliseconds leaderTimeout{1'000};

// A source that is unreachable for this long is removed, unless the settings name it.
constexpr milliseconds removeSourceAfter{30'000};

} // namespace

void source::applySettings()
{
    for (auto &[endpoint, known] : m_sources) {
        known.isConfigured = false;
    }
    for (const core::endpoint &each : m_context.settings.sources) {
        m_sources[each].isConfigured = true;
    }
    updateSources();
}

void source::updateSources()
{
    const core::monotonic_time now = m_context.now();
    std::erase_if(m_sources, [&](const auto &each) {
        return !each.second.isConfigured && now >= each.second.lastSeenAt + removeSourceAfter;
    });
    m_log.setSourceAddresses(knownSources());
}

std::vector<core::endpoint> source::knownSources() const
{
    std::vector<core::endpoint> listed{m_context.settings.mesh};
    for (const auto &[endpoint, known] : m_sources) {
        if (endpoint != m_context.settings.mesh) {
            listed.push_back(endpoint);
        }
    }
    return listed;
}

std::vector<fleet::source_record> source::sourceRecords() const
{
    std::vector<fleet::source_record> records{
        {m_context.settings.mesh, m_context.settings.dataCentre}};
    for (const auto &[endpoint, known] : m_sources) {
        // A source that only others know is not passed on, so that one that is gone is forgotten.
        if (endpoint != m_context.settings.mesh && (known.isConfigured || known.heardAt)) {
            records.push_back(fleet::source_record{endpoint, known.dataCentre});
        }
    }
    return records;
}

std::set<core::endpoint> source::directorySources() const
{
    const core::monotonic_time now = m_context.now();
    std::set<core::endpoint> chosen;
    // The sources of a data centre share the load: each requester prefers another one.
    std::map<core::data_centre_name, std::pair<std::uint64_t, core::endpoint>> preferred;
    for (const auto &[endpoint, known] : m_sources) {
        if (endpoint == m_context.settings.mesh || !known.heardAt
            || now >= *known.heardAt + helloTimeout) {
            continue;
        }
        if (known.dataCentre == m_context.settings.dataCentre) {
            chosen.insert(endpoint);
            continue;
        }
        const std::uint64_t preference
            = core::checksumOf(absl::StrCat(m_context.settings.mesh.value, " ", endpoint.value));
        const auto candidate = std::pair(preference, endpoint);
        const auto [held, isNew] = preferred.try_emplace(known.dataCentre, candidate);
        if (!isNew) {
            held->second = std::min(held->second, candidate);
        }
    }
    for (const auto &[dataCentre, candidate] : preferred) {
        chosen.insert(candidate.second);
    }
    return chosen;
}

fleet::source_hello source::helloFor(const core::endpoint &peer,
                                     const std::set<core::endpoint> &directorySources,
                                     bool withSources) const
{
    fleet::source_hello hello;
    hello.dataCentre = m_context.settings.dataCentre;
    if (withSources) {
        hello.sources = sourceRecords();
    }
    hello.wantsDirectory = directorySources.contains(peer);
    const fleet::directory_position held = m_remoteHosts.directoryPosition(peer);
    hello.directoryEpoch = held.epoch;
    hello.directoryNumber = held.number;
    return hello;
}

void source::sendHellos(bool withSources)
{
    const core::monotonic_time now = m_context.now();
    const std::set<core::endpoint> wanted = directorySources();
    for (auto &[endpoint, known] : m_sources) {
        if (endpoint == m_context.settings.mesh) {
            continue;
        }
        if (known.hellos.takeOverdue(now)) {
            m_transport.closeLink(endpoint);
        }
        known.hellos.sent(now);
        send(endpoint, helloFor(endpoint, wanted, withSources));
    }
}

bool source::isCurrent() const
{
    return m_log.leads()
        || (!m_log.leader().empty() && m_context.now() < m_leaderHeardAt + leaderTimeout);
}

void source::recordContact()
{
    const bool isNowCurrent = isCurrent();
    if (std::exchange(m_wasCurrent, isNowCurrent) == isNowCurrent) {
        return;
    }
    m_context.record(
        m_context.event(isNowCurrent ? "leader-contact-regained" : "leader-contact-lost")
            .peer(m_log.leader().value)
            .step("agreement")
            .field("revision", std::to_string(m_state.view().revision))
            .build());
}

void source::handleMessage(const core::endpoint &peer, const fleet::source_hello &hello)
{
    const core::monotonic_time now = m_context.now();
    known_source &known = m_sources[peer];
    const bool isNew = !known.heardAt;
    known.lastSeenAt = now;
    known.heardAt = now;
    known.hellos.received();
    known.dataCentre = hello.dataCentre;
    for (const fleet::source_record &each : hello.sources) {
        // Known only from another source's hello until its own hello arrives, which it sends when
        // it receives one from this source.
        m_sources.try_emplace(each.endpoint, known_source{now, false, each.dataCentre, {}, {}});
    }
    if (isNew) {
        m_context.record(m_context.event("source-heard").peer(peer.value).step("greet").build());
        updateSources();
        sendHellos(true);
    }
    subscriber &recipient = m_subscribers[peer];
    recipient.lastSeenAt = now;
    recipient.kind = hello.dataCentre == m_context.settings.dataCentre
        ? subscriber_kind::OwnSource
        : subscriber_kind::OtherSource;
    recipient.wantsDirectory = hello.wantsDirectory;
    if (hello.wantsDirectory && !m_transport.isCongested(peer)) {
        fleet::source_update reply = revisionUpdate();
        addDirectory(recipient, hello.directoryEpoch, hello.directoryNumber, reply);
        recipient.sentDirectoryNumber = reply.directoryNumber;
        send(peer, reply);
    }
}

void source::handleMessage(const core::endpoint &peer, const fleet::source_update &update)
{
    const core::monotonic_time now = m_context.now();
    const bool areDeparturesNew = m_directory.addDeparted(update.departedServers, now);
    if (m_remoteHosts.apply(peer, update, now) || areDeparturesNew) {
        schedulePush();
    }
}

} // namespace jackdawweir::mesh
