#include "jackdawweir/distribution/subscriber.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/distribution/rendezvous.h"

namespace jackdawweir::distribution {

namespace {

// A node compares the versions of two relays, so that one stale relay does not delay an update.
constexpr std::size_t relaysUsed = 2;

// A fetch without a reply can be repeated after this time.
constexpr std::chrono::milliseconds fetchTimeout{1000};

// A node waits longer than a relay before it requests a confirmed read from a source, so that after
// a restart of the whole data centre the reads of the relays serve all of its nodes.
constexpr std::chrono::milliseconds nodeReadDelay = 3 * confirmedReadDelay;

std::vector<core::endpoint> relaysToUse(const distribution_settings &settings)
{
    if (settings.isRelay()) {
        return {};
    }
    return rankByRendezvous(settings.ownHost.value, settings.relays);
}

core::error baseMismatch(const core::endpoint &peer)
{
    return core::error{core::error_code::DataLoss,
                       "apply-delta",
                       peer.value,
                       "the delta removes a resource that its base lacks"};
}

} // namespace

subscriber::subscriber(distribution_settings settings, core::random_engine &engine)
    : m_settings(std::move(settings))
    , m_engine(engine)
    , m_relays(relaysToUse(m_settings), relaysUsed)
    , m_sources(rankByRendezvous(m_settings.ownHost.value, m_settings.sources), 1)
{
}

effects
subscriber::handle(const core::endpoint &peer, const message &received, core::monotonic_time now)
{
    return std::visit(
        [&](const auto &body) -> effects {
            if constexpr (requires { this->handleMessage(peer, body, now); }) {
                if (body.session == m_settings.incarnation) {
                    return this->handleMessage(peer, body, now);
                }
            }
            return {};
        },
        received);
}

effects subscriber::tick(core::monotonic_time now)
{
    if (!m_started) {
        m_started = true;
        // A random delay spreads the first messages of processes that start at the same time.
        m_startedAt = now + core::backoffWithFullJitter(m_engine, 0, initialBackoff, maxBackoff);
        m_nextWitnessPoll = m_startedAt;
        m_relayAnsweredAt = m_startedAt;
        m_nextRead = m_startedAt + (m_settings.isRelay() ? confirmedReadDelay : nodeReadDelay);
    }
    effects wanted;
    if (now >= m_startedAt) {
        sendHeartbeats(now, wanted);
        pollWitnesses(now, wanted);
        requestFloor(now, wanted);
    }
    reportRefusal(wanted);
    return wanted;
}

effects subscriber::peerLost(const core::endpoint &peer, core::monotonic_time now)
{
    m_relays.recordFailure(peer, now, m_engine);
    m_sources.recordFailure(peer, now, m_engine);
    m_fetchedAt.reset();
    return {};
}

const core::config_version &subscriber::held() const
{
    return m_held;
}

const document::configuration *subscriber::active() const
{
    return m_active.get();
}

const std::optional<core::config_version> &subscriber::versionFloor() const
{
    return m_floor;
}

effects subscriber::handleMessage(const core::endpoint &peer,
                                  const heartbeat_reply &received,
                                  core::monotonic_time now)
{
    m_relays.recordReply(peer, now);
    m_sources.recordReply(peer, now);
    effects wanted;
    if (received.isWitness) {
        addWitnessState(peer, received.witness, wanted);
    }
    if (received.newest > m_held) {
        fetch(peer, now, wanted);
    }
    return wanted;
}

effects subscriber::handleMessage(const core::endpoint &peer,
                                  const delta &received,
                                  core::monotonic_time now)
{
    m_fetchedAt.reset();
    effects wanted;
    if (received.result <= m_held) {
        return wanted;
    }
    if (received.base != m_held || m_resources == nullptr) {
        fetch(peer, now, wanted);
        return wanted;
    }
    document::resource_map resources = *m_resources;
    for (const auto &[name, bytes] : received.changed) {
        resources[name] = bytes;
    }
    for (const std::string &name : received.removed) {
        if (resources.erase(name) == 0) {
            rejectUpdate(peer, baseMismatch(peer), now, wanted);
            return wanted;
        }
    }
    hold(peer, received.result, std::move(resources), now, wanted);
    return wanted;
}

effects subscriber::handleMessage(const core::endpoint &peer,
                                  const snapshot &received,
                                  core::monotonic_time now)
{
    m_fetchedAt.reset();
    effects wanted;
    if (received.version > m_held) {
        hold(peer, received.version, received.resources, now, wanted);
    }
    return wanted;
}

effects
subscriber::handleMessage(const core::endpoint &peer, const busy_reply &, core::monotonic_time now)
{
    return peerLost(peer, now);
}

effects
subscriber::handleMessage(const core::endpoint &, const floor_reply &received, core::monotonic_time)
{
    effects wanted;
    if (received.confirmed && !m_floor.has_value()) {
        setFloor(received.floor, "floor-from-confirmed-read", wanted);
    }
    return wanted;
}

effects subscriber::handleMessage(const core::endpoint &peer,
                                  const witness_reply &received,
                                  core::monotonic_time)
{
    effects wanted;
    addWitnessState(peer, received.state, wanted);
    return wanted;
}

void subscriber::addWitnessState(const core::endpoint &peer,
                                 const witness_state &state,
                                 effects &wanted)
{
    const auto &witnesses = m_settings.relays;
    if (std::find(witnesses.begin(), witnesses.end(), peer) == witnesses.end()) {
        return;
    }
    m_witnesses.add(peer, state);
    if (!m_floor.has_value()) {
        const auto greatest = m_witnesses.greatestOf(m_settings.witnessMajority());
        if (greatest.has_value()) {
            setFloor(*greatest, "floor-from-witnesses", wanted);
        }
    }
    activateIfSafe(wanted);
}

void subscriber::hold(const core::endpoint &peer,
                      const core::config_version &version,
                      document::resource_map resources,
                      core::monotonic_time now,
                      effects &wanted)
{
    core::result<document::configuration> built = document::configurationFrom(version, resources);
    if (const core::error *failure = core::errorIn(built)) {
        rejectUpdate(peer, *failure, now, wanted);
        return;
    }
    m_held = version;
    m_resources = std::make_shared<const document::resource_map>(std::move(resources));
    m_heldConfiguration
        = std::make_shared<const document::configuration>(core::valueIn(std::move(built)));
    m_wantsSnapshot = false;
    m_nextWitnessPoll = now;
    m_witnessPolls = 0;
    wanted.emplace_back(log_event{"hold-configuration", peer, version});
    wanted.emplace_back(hold_configuration{version, m_resources});
    activateIfSafe(wanted);
    pollWitnesses(now, wanted);
}

void subscriber::fetch(const core::endpoint &peer, core::monotonic_time now, effects &wanted)
{
    if (m_fetchedAt.has_value() && now - *m_fetchedAt < fetchTimeout) {
        return;
    }
    m_fetchedAt = now;
    const core::config_version base = m_wantsSnapshot ? core::config_version{} : m_held;
    wanted.emplace_back(send_message{peer, fetch_request{m_settings.incarnation, base}});
}

void subscriber::rejectUpdate(const core::endpoint &peer,
                              core::error failure,
                              core::monotonic_time now,
                              effects &wanted)
{
    failure.peer = peer.value;
    wanted.emplace_back(report_error{std::move(failure)});
    if (std::exchange(m_wantsSnapshot, true)) {
        m_relays.recordFailure(peer, now, m_engine);
        m_sources.recordFailure(peer, now, m_engine);
    }
}

void subscriber::sendHeartbeats(core::monotonic_time now, effects &wanted)
{
    std::vector<due_peer> due = m_relays.takeDuePeers(now, m_engine);
    if (m_relays.hasRecentReply(now)) {
        m_relayAnsweredAt = now;
    }
    const bool needsSource = m_settings.isRelay() || now - m_relayAnsweredAt >= sourceFallbackDelay
        || (!m_relays.hasRecentReply(now) && m_relays.haveAllFailed());
    if (needsSource) {
        const std::vector<due_peer> sources = m_sources.takeDuePeers(now, m_engine);
        due.insert(due.end(), sources.begin(), sources.end());
    }
    for (const due_peer &peer : due) {
        const subscription kind = peer.isPrimary ? subscription::Push : subscription::Poll;
        wanted.emplace_back(
            send_message{peer.address, heartbeat{m_settings.incarnation, m_held, kind}});
    }
}

void subscriber::pollWitnesses(core::monotonic_time now, effects &wanted)
{
    const bool hasPending = m_heldConfiguration != nullptr && m_heldConfiguration != m_active;
    if (now < m_nextWitnessPoll || (m_floor.has_value() && !hasPending)) {
        return;
    }
    for (const core::endpoint &witness : m_settings.relays) {
        const std::optional<core::config_version> heldByWitness = m_witnesses.heldBy(witness);
        if (!heldByWitness.has_value() || *heldByWitness < m_held) {
            wanted.emplace_back(send_message{witness, witness_request{m_settings.incarnation}});
        }
    }
    m_nextWitnessPoll = now + witnessPollInterval
        + core::backoffWithFullJitter(
                            m_engine, m_witnessPolls++, initialBackoff, heartbeatInterval);
}

void subscriber::requestFloor(core::monotonic_time now, effects &wanted)
{
    if (m_floor.has_value() || now < m_nextRead) {
        return;
    }
    const std::vector<core::endpoint> sources
        = rankByRendezvous(m_settings.ownHost.value, m_settings.sources);
    wanted.emplace_back(send_message{sources[m_readAttempt % sources.size()],
                                     floor_request{m_settings.incarnation}});
    m_nextRead = now + witnessPollInterval
        + core::backoffWithFullJitter(m_engine, m_readAttempt++, initialBackoff, maxBackoff);
}

void subscriber::setFloor(const core::config_version &floor, const char *step, effects &wanted)
{
    m_floor = floor;
    wanted.emplace_back(log_event{step, m_settings.ownEndpoint, floor});
    activateIfSafe(wanted);
}

void subscriber::activateIfSafe(effects &wanted)
{
    const bool isPending = m_heldConfiguration != nullptr && m_heldConfiguration != m_active;
    if (!isPending || !m_floor.has_value() || m_held < *m_floor) {
        return;
    }
    if (m_witnesses.countAtLeast(m_held) < m_settings.witnessMajority()) {
        return;
    }
    m_active = m_heldConfiguration;
    m_reportedRefusal.reset();
    wanted.emplace_back(activate_configuration{m_active});
}

void subscriber::reportRefusal(effects &wanted)
{
    if (m_active != nullptr) {
        return;
    }
    const refusal_reason reason = currentRefusal();
    if (m_reportedRefusal != reason) {
        m_reportedRefusal = reason;
        wanted.emplace_back(refuse_service{reason});
    }
}

refusal_reason subscriber::currentRefusal() const
{
    if (!m_floor.has_value()) {
        return refusal_reason::NoVersionFloor;
    }
    if (m_heldConfiguration == nullptr || m_held < *m_floor) {
        return refusal_reason::BelowVersionFloor;
    }
    return refusal_reason::NoWitnessMajority;
}

} // namespace jackdawweir::distribution
