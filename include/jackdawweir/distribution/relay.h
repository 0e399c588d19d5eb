// A relay: publishes the configuration it holds to the nodes of its data centre and is a witness of
// their version floor. The process's subscriber fills it.
//
//     relay own(settings);
//     run(own.tick(now));                                  // every tickInterval
//     run(own.hold(held.version, held.resources, now));    // on each hold_configuration effect
//     run(own.handle(peer, received, now));

#pragma once

#include "jackdawweir/core/random.h"
#include "jackdawweir/distribution/publisher.h"
#include "jackdawweir/distribution/witness_quorum.h"

namespace jackdawweir::distribution {

class relay
{
public:
    relay(distribution_settings settings, core::random_engine &engine);

    // Takes a newer configuration and pushes it to the subscribers.
    effects hold(const core::config_version &version,
                 std::shared_ptr<const document::resource_map> resources,
                 core::monotonic_time now);

    // Answers requests and takes recovery_reply and floor_reply; other messages are ignored.
    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    // Drives the recovery of the witness state after a start.
    effects tick(core::monotonic_time now);

    // What this witness states of itself.
    witness_state state() const;

    std::size_t subscriberCount() const;

private:
    effects take(const core::endpoint &peer, const recovery_request &received);
    effects take(const core::endpoint &peer, const recovery_reply &received);
    effects take(const core::endpoint &peer, const floor_reply &received);
    effects take(const core::endpoint &peer, const witness_request &received);
    effects recoverAt(const core::config_version &version, const char *step);
    effects requestRecovery(core::monotonic_time now);
    void shareState();

    distribution_settings m_settings;
    core::random_engine &m_engine;
    publisher m_publisher;
    // What the other witnesses stated for this recovery.
    witness_quorum m_others;
    bool m_hasMemory = false;
    core::config_version m_held;
    bool m_started = false;
    core::monotonic_time m_startedAt;
    core::monotonic_time m_nextRequest;
    core::monotonic_time m_nextRead;
    unsigned m_attempt = 0;
};

} // namespace jackdawweir::distribution
