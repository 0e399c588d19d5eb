#include "jackdawweir/distribution/relay.h"

#include <utility>

#include "jackdawweir/distribution/rendezvous.h"

namespace jackdawweir::distribution {

relay::relay(distribution_settings settings, core::random_engine &engine)
    : m_settings(std::move(settings))
    , m_engine(engine)
    , m_publisher(publisher_role::Relay, m_settings.admission)
{
    m_otherWitnesses.raiseIncarnation(m_settings.ownEndpoint, m_settings.incarnation);
    updateWitnessState();
}

effects relay::hold(const core::config_version &version,
                    std::shared_ptr<const document::resource_map> resources,
                    core::monotonic_time now)
{
    if (version > m_held) {
        m_held = version;
        updateWitnessState();
    }
    return m_publisher.publish(version, std::move(resources), now);
}

effects relay::handle(const core::endpoint &peer, const message &received, core::monotonic_time now)
{
    if (const auto *recoveryRequest = std::get_if<recovery_request>(&received)) {
        return handleMessage(peer, *recoveryRequest);
    }
    if (const auto *recoveryReply = std::get_if<recovery_reply>(&received)) {
        return handleMessage(peer, *recoveryReply);
    }
    if (const auto *floorReply = std::get_if<floor_reply>(&received)) {
        return handleMessage(peer, *floorReply);
    }
    if (const auto *witnessRequest = std::get_if<witness_request>(&received)) {
        return handleMessage(peer, *witnessRequest);
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
    return witness_state{m_hasMemory, m_settings.incarnation, m_held, m_otherWitnesses.known()};
}

std::size_t relay::subscriberCount() const
{
    return m_publisher.subscriberCount();
}

effects relay::handleMessage(const core::endpoint &peer, const recovery_request &received)
{
    // A delayed request of an earlier incarnation is ignored because that process has ended.
    if (!m_otherWitnesses.raiseIncarnation(peer, received.session)) {
        return {};
    }
    updateWitnessState();
    return {send_message{peer, recovery_reply{received.session, state()}}};
}

effects relay::handleMessage(const core::endpoint &peer, const recovery_reply &received)
{
    if (received.session != m_settings.incarnation || m_hasMemory) {
        return {};
    }
    m_otherWitnesses.add(peer, received.state);
    // Every majority that allowed a node to activate a version has a member among this many other
    // witnesses.
    const std::size_t needed = m_settings.relays.size() - m_settings.witnessMajority() + 1;
    const std::optional<core::config_version> greatest = m_otherWitnesses.greatestOf(needed);
    if (!greatest.has_value()) {
        return {};
    }
    return recoverAt(*greatest, "witness-recovered-from-others");
}

effects relay::handleMessage(const core::endpoint &, const floor_reply &received)
{
    if (received.session != m_settings.incarnation || !received.confirmed || m_hasMemory) {
        return {};
    }
    return recoverAt(received.floor, "witness-recovered-by-confirmed-read");
}

effects relay::handleMessage(const core::endpoint &peer, const witness_request &received)
{
    return {send_message{peer, witness_reply{received.session, state()}}};
}

effects relay::recoverAt(const core::config_version &version, const char *step)
{
    m_hasMemory = true;
    m_held = std::max(m_held, version);
    updateWitnessState();
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
            + core::backoffWithFullJitter(m_engine, m_attempt, initialBackoff, maxBackoff);
    }
    if (now >= m_nextRead) {
        const std::vector<core::endpoint> sources
            = rankByRendezvous(m_settings.ownHost.value, m_settings.sources);
        wanted.emplace_back(send_message{sources[m_attempt % sources.size()],
                                         floor_request{m_settings.incarnation}});
        m_nextRead = now + witnessPollInterval
            + core::backoffWithFullJitter(m_engine, m_attempt, initialBackoff, maxBackoff);
        ++m_attempt;
    }
    return wanted;
}

void relay::updateWitnessState()
{
    m_publisher.setWitnessState(state());
}

} // namespace jackdawweir::distribution
