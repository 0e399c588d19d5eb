#include "jackdawweir/distribution/publisher.h"

#include <utility>

#include "jackdawweir/distribution/settings.h"

namespace jackdawweir::distribution {

namespace {

// The bytes that msgpack adds to a name and its value.
constexpr std::size_t entryOverheadBytes = 6;

std::size_t sizeOf(const document::resource_map &resources)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : resources) {
        bytes += name.size() + value.size() + entryOverheadBytes;
    }
    return bytes;
}

std::size_t sizeOf(const delta &difference)
{
    std::size_t bytes = sizeOf(difference.changed);
    for (const std::string &name : difference.removed) {
        bytes += name.size() + entryOverheadBytes;
    }
    return bytes;
}

// Returns the names whose value differs or that only one of the maps contains, and whether the base
// contains them.
std::map<std::string, bool> changedNames(const document::resource_map &base,
                                         const document::resource_map &next)
{
    std::map<std::string, bool> names;
    for (const auto &[name, value] : base) {
        const auto found = next.find(name);
        if (found == next.end() || found->second != value) {
            names.emplace(name, true);
        }
    }
    for (const auto &[name, value] : next) {
        if (base.find(name) == base.end()) {
            names.emplace(name, false);
        }
    }
    return names;
}

} // namespace

publisher::publisher(publisher_role role, admission_settings admission)
    : m_role(role)
    , m_admission(admission)
{
}

effects publisher::publish(const core::config_version &version,
                           std::shared_ptr<const document::resource_map> resources,
                           core::monotonic_time now)
{
    if (version <= m_newest) {
        return {};
    }
    if (m_resources != nullptr) {
        m_changes.push_back(change{m_newest, changedNames(*m_resources, *resources)});
        if (m_changes.size() > maxDeltaHistory) {
            m_changes.pop_front();
        }
    }
    m_newest = version;
    m_resources = std::move(resources);
    m_snapshotBytes = sizeOf(*m_resources);
    m_deltas.clear();
    removeExpiredSubscribers(now);

    effects wanted;
    for (auto &[peer, record] : m_subscribers) {
        // A subscriber without a delta fetches a snapshot, which the admission limit applies to.
        const delta *difference = deltaFrom(record.held);
        if (record.mode != subscription::Push || difference == nullptr) {
            continue;
        }
        wanted.emplace_back(send_message{peer, updateFrom(record.held, record.session)});
        record.held = m_newest;
    }
    return wanted;
}

effects
publisher::handle(const core::endpoint &peer, const message &received, core::monotonic_time now)
{
    return std::visit([&](const auto &body) { return answer(peer, body, now); }, received);
}

effects
publisher::answer(const core::endpoint &peer, const heartbeat &received, core::monotonic_time now)
{
    if (!hasRoomFor(peer)) {
        return {send_message{peer, busy_reply{received.session, busy_reason::FanOut}}};
    }
    if (!m_admission.admit(0, now)) {
        return {send_message{peer, busy_reply{received.session, busy_reason::Admission}}};
    }
    m_subscribers[peer] = subscriber_record{received.session, received.held, received.mode, now};
    return {send_message{
        peer,
        heartbeat_reply{received.session, m_newest, m_role == publisher_role::Relay, m_witness}}};
}

effects publisher::answer(const core::endpoint &peer,
                          const fetch_request &received,
                          core::monotonic_time now)
{
    if (m_resources == nullptr || received.base == m_newest) {
        return {};
    }
    const delta *difference = deltaFrom(received.base);
    const std::size_t bytes = difference != nullptr ? sizeOf(*difference) : m_snapshotBytes;
    if (!m_admission.admit(bytes, now)) {
        return {send_message{peer, busy_reply{received.session, busy_reason::Admission}}};
    }
    const auto known = m_subscribers.find(peer);
    if (known != m_subscribers.end() && known->second.session == received.session) {
        known->second.held = m_newest;
    }
    return {send_message{peer, updateFrom(received.base, received.session)}};
}

effects publisher::answer(const core::endpoint &peer,
                          const floor_request &received,
                          core::monotonic_time now)
{
    if (m_role != publisher_role::Source) {
        return {};
    }
    if (!m_admission.admit(0, now)) {
        return {send_message{peer, busy_reply{received.session, busy_reason::Admission}}};
    }
    if (m_isReading) {
        // The running read may have begun before this request was sent, so its result may be too
        // old for this request.
        m_queuedReadRequests[peer] = received.session;
        return {};
    }
    m_isReading = true;
    m_runningReadRequests[peer] = received.session;
    return {confirm_read{++m_readId}};
}

template<typename Other>
effects publisher::answer(const core::endpoint &, const Other &, core::monotonic_time)
{
    return {};
}

effects publisher::completeRead(std::uint64_t readId,
                                const core::result<core::config_version> &outcome)
{
    if (!m_isReading || readId != m_readId) {
        return {};
    }
    floor_reply reply;
    if (const core::error *failure = core::errorIn(outcome)) {
        reply.reason = core::toString(*failure);
    } else {
        reply.confirmed = true;
        reply.floor = core::valueIn(outcome);
    }
    effects wanted;
    for (const auto &[peer, session] : m_runningReadRequests) {
        reply.session = session;
        wanted.emplace_back(send_message{peer, reply});
    }
    m_runningReadRequests = std::exchange(m_queuedReadRequests, {});
    m_isReading = !m_runningReadRequests.empty();
    if (m_isReading) {
        wanted.emplace_back(confirm_read{++m_readId});
    }
    return wanted;
}

effects publisher::tick(core::monotonic_time now)
{
    removeExpiredSubscribers(now);
    return {};
}

void publisher::setWitnessState(witness_state state)
{
    m_witness = std::move(state);
}

const core::config_version &publisher::newest() const
{
    return m_newest;
}

std::size_t publisher::subscriberCount() const
{
    return m_subscribers.size();
}

bool publisher::hasRoomFor(const core::endpoint &peer) const
{
    return m_role == publisher_role::Source || m_subscribers.size() < relayFanOut
        || m_subscribers.count(peer) != 0;
}

void publisher::removeExpiredSubscribers(core::monotonic_time now)
{
    std::erase_if(m_subscribers, [now](const auto &each) {
        return now - each.second.lastHeartbeat > peerTimeout;
    });
}

message publisher::updateFrom(const core::config_version &base, std::uint64_t session) const
{
    if (const delta *difference = deltaFrom(base)) {
        delta addressed = *difference;
        addressed.session = session;
        return addressed;
    }
    return snapshot{session, m_newest, *m_resources};
}

const delta *publisher::deltaFrom(const core::config_version &base) const
{
    if (const auto built = m_deltas.find(base); built != m_deltas.end()) {
        return built->second.get();
    }
    // The oldest change of a name determines whether the base contains it. A name that was added
    // and removed after the base must not be in the removed names of the delta.
    std::map<std::string, bool> names;
    auto entry = m_changes.rbegin();
    for (; entry != m_changes.rend(); ++entry) {
        for (const auto &[name, baseHasIt] : entry->names) {
            names[name] = baseHasIt;
        }
        if (entry->base == base) {
            break;
        }
    }
    if (entry == m_changes.rend()) {
        return nullptr;
    }
    auto difference = std::make_shared<delta>();
    difference->base = base;
    difference->result = m_newest;
    for (const auto &[name, baseHasIt] : names) {
        const auto found = m_resources->find(name);
        if (found != m_resources->end()) {
            difference->changed.emplace(name, found->second);
        } else if (baseHasIt) {
            difference->removed.push_back(name);
        }
    }
    if (sizeOf(*difference) >= m_snapshotBytes) {
        difference.reset();
    }
    return m_deltas.emplace(base, std::move(difference)).first->second.get();
}

} // namespace jackdawweir::distribution
