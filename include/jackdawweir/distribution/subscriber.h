// Obtains configurations for a node or relay and decides when one becomes active.
//
//     subscriber agent(settings, engine);
//     run(agent.tick(now));                    // every tickInterval
//     run(agent.handle(peer, received, now));  // each message from a relay, source or witness
//
// A node subscribes to two relays of its data centre, and to a source when no relay answers; a
// relay subscribes to a source.

#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/distribution/effects.h"
#include "jackdawweir/distribution/peer_set.h"
#include "jackdawweir/distribution/settings.h"
#include "jackdawweir/distribution/witness_quorum.h"

namespace jackdawweir::distribution {

class subscriber
{
public:
    // The engine must outlive the subscriber.
    subscriber(distribution_settings settings, core::random_engine &engine);

    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    effects tick(core::monotonic_time now);

    // Reports that the connection to this peer failed or closed. Another peer is used at once.
    effects peerLost(const core::endpoint &peer, core::monotonic_time now);

    // Returns the version of the newest valid configuration received, active or not; none before
    // the first.
    const core::config_version &held() const;

    // Returns the active configuration, or nullptr while requests are refused.
    const document::configuration *active() const;

    // Returns the version floor once it is known. Older versions are not activated, because this
    // host may have run a newer one before a restart.
    const std::optional<core::config_version> &versionFloor() const;

private:
    effects handleMessage(const core::endpoint &peer,
                          const heartbeat_reply &received,
                          core::monotonic_time now);
    effects
    handleMessage(const core::endpoint &peer, const delta &received, core::monotonic_time now);
    effects
    handleMessage(const core::endpoint &peer, const snapshot &received, core::monotonic_time now);
    effects
    handleMessage(const core::endpoint &peer, const busy_reply &received, core::monotonic_time now);
    effects handleMessage(const core::endpoint &peer,
                          const floor_reply &received,
                          core::monotonic_time now);
    effects handleMessage(const core::endpoint &peer,
                          const witness_reply &received,
                          core::monotonic_time now);

    void addWitnessState(const core::endpoint &peer, const witness_state &state, effects &wanted);
    void hold(const core::endpoint &peer,
              const core::config_version &version,
              document::resource_map resources,
              core::monotonic_time now,
              effects &wanted);
    void fetch(const core::endpoint &peer, core::monotonic_time now, effects &wanted);
    void rejectUpdate(const core::endpoint &peer,
                      core::error failure,
                      core::monotonic_time now,
                      effects &wanted);

    void sendHeartbeats(core::monotonic_time now, effects &wanted);
    void pollWitnesses(core::monotonic_time now, effects &wanted);
    void requestFloor(core::monotonic_time now, effects &wanted);
    void setFloor(const core::config_version &floor, const char *step, effects &wanted);
    void activateIfSafe(effects &wanted);
    void reportRefusal(effects &wanted);
    refusal_reason currentRefusal() const;

    distribution_settings m_settings;
    core::random_engine &m_engine;
    peer_set m_relays;
    peer_set m_sources;
    witness_quorum m_witnesses;

    std::shared_ptr<const document::resource_map> m_resources;
    std::shared_ptr<const document::configuration> m_heldConfiguration;
    core::config_version m_held;
    std::shared_ptr<const document::configuration> m_active;
    std::optional<core::config_version> m_floor;
    std::optional<refusal_reason> m_reportedRefusal;

    bool m_started = false;
    core::monotonic_time m_startedAt;
    core::monotonic_time m_relayAnsweredAt;
    core::monotonic_time m_nextWitnessPoll;
    unsigned m_witnessPolls = 0;
    core::monotonic_time m_nextRead;
    unsigned m_readAttempt = 0;
    // When the in-flight fetch was sent. A second one waits until the first is answered, a peer is
    // lost or fetchTimeout passes.
    std::optional<core::monotonic_time> m_fetchedAt;
    // True after received data failed validation: the next fetch requests a snapshot.
    bool m_wantsSnapshot = false;
};

} // namespace jackdawweir::distribution
