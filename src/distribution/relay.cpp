#include "jackdawweir/distribution/relay.h"

#include <utility>

#include "jackdawweir/distribution/rendezvous.h"

namespace jackdawweir::distribution {

relay::relay(distribution_settings settings, core::random_engine &engine)
    : m_settings(std::move(settings))
    , m_engine(engine)
    , m_publisher(publisher_role::Relay, m_settings.admission)
{
    m_others.raise(m_settings.ownEndpoint, m_settings.incarnation);
    shareState();
}

effects relay::hold(const core::config_version &version,
                    std::shared_ptr<const document::resource_map> resources,
                    core::monotonic_time now)
{
    if (version > m_held) {
        m_held = version;
        shareState();
    }
    return m_publisher.publish(version, std::move(resources), now);
}

effects relay::handle(const core::endpoint &peer, const message &received, core::monotonic_time now)
{
    if (const auto *recovery = std::get_if<recovery_request>(&received)) {
        return take(peer, *recovery);
    }
    if (const auto *recovered = std::get_if<recovery_reply>(&received)) {
        return take(peer, *recovered);
    }
    if (const auto *floor = std::get_if<floor_reply>(&received)) {
        return take(peer, *floor);
    }
    if (const auto *asked = std::get_if<witness_request>(&received)) {
        return take(peer, *asked);
    }
    return m_publisher.handle(peer, received, now);
}

effects relay::tick(core::monotonic_time now)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
        m_nextRequest = now;
        m_nextRead = now + confirmedReadDelay;
    }
    effects wanted = m_publisher.tick(now);
    if (!m_hasMemory) {
        effects requests = requestRecovery(now);
        wanted.insert(wanted.end(), requests.begin(), requests.end());
    }
    return wanted;
}

witness_state relay::state() const
{
    return witness_state{m_hasMemory, m_settings.incarnation, m_held, m_others.known()};
}

std::size_t relay::subscriberCount() const
{
    return m_publisher.subscriberCount();
}

effects relay::take(const core::endpoint &peer, const recovery_request &received)
{
    // A late request of an earlier start gets no answer: that start is over.
    if (!m_others.raise(peer, received.session)) {
        return {};
    }
    shareState();
    return {send_message{peer, recovery_reply{received.session, state()}}};
}

effects relay::take(const core::endpoint &peer, const recovery_reply &received)
{
    if (received.session != m_settings.incarnation || m_hasMemory) {
        return {};
    }
    m_others.add(peer, received.state);
    // Any majority that let a node activate a version has a member among so many others.
    const std::size_t needed = m_settings.relays.size() - m_settings.witnessMajority() + 1;
    const std::optional<core::config_version> greatest = m_others.greatestOf(needed);
    if (!greatest.has_value()) {
        return {};
    }
    return recoverAt(*greatest, "witness-recovered-from-others");
}

effects relay::take(const core::endpoint &, const floor_reply &received)
{
    if (received.session != m_settings.incarnation || !received.confirmed || m_hasMemory) {
        return {};
    }
    return recoverAt(received.floor, "witness-recovered-by-confirmed-read");
}

effects relay::take(const core::endpoint &peer, const witness_request &received)
{
    return {send_message{peer, witness_reply{received.session, state()}}};
}

effects relay::recoverAt(const core::config_version &version, const char *step)
{
    m_hasMemory = true;
    m_held = std::max(m_held, version);
    shareState();
    return {log_event{step, m_settings.ownEndpoint, m_held}};
}

effects relay::requestRecovery(core::monotonic_time now)
{
    effects wanted;
    if (now >= m_nextRequest) {
        for (const core::endpoint &other : m_settings.relays) {
            if (other != m_settings.ownEndpoint) {
                wanted.emplace_back(send_message{other, recovery_request{m_settings.incarnation}});
            }
        }
        m_nextRequest = now + witnessPollInterval
            + core::backoffWithFullJitter(m_engine, m_attempt, firstBackoff, mostBackoff);
    }
    if (now >= m_nextRead) {
        const std::vector<core::endpoint> sources
            = rankByRendezvous(m_settings.ownHost.value, m_settings.sources);
        wanted.emplace_back(send_message{sources[m_attempt % sources.size()],
                                         floor_request{m_settings.incarnation}});
        m_nextRead = now + witnessPollInterval
            + core::backoffWithFullJitter(m_engine, m_attempt, firstBackoff, mostBackoff);
        ++m_attempt;
    }
    return wanted;
}

void relay::shareState()
{
    m_publisher.setWitnessState(state());
}

} // namespace jackdawweir::distribution
