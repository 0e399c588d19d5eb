// A relay publishes its configuration to the nodes of its data centre and is a witness for their
// version floor. It receives configurations from the subscriber of its process.
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

    // Stores a newer configuration and pushes it to the subscribers.
    effects hold(const core::config_version &version,
                 std::shared_ptr<const document::resource_map> resources,
                 core::monotonic_time now);

    // Replies to requests and processes recovery_reply and floor_reply; other messages are ignored.
    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    // Removes expired subscribers, and requests the witness state after a start until it is
    // recovered.
    effects tick(core::monotonic_time now);

    // Returns the state that this witness reports.
    witness_state state() const;

    std::size_t subscriberCount() const;

private:
    effects handleMessage(const core::endpoint &peer, const recovery_request &received);
    effects handleMessage(const core::endpoint &peer, const recovery_reply &received);
    effects handleMessage(const core::endpoint &peer, const floor_reply &received);
    effects handleMessage(const core::endpoint &peer, const witness_request &received);
    effects recoverAt(const core::config_version &version, const char *step);
    effects requestRecovery(core::monotonic_time now);
    void updateWitnessState();

    distribution_settings m_settings;
    core::random_engine &m_engine;
    publisher m_publisher;
    // The states that the other witnesses sent for the recovery, and the incarnations known of
    // them.
    witness_quorum m_otherWitnesses;
    bool m_hasMemory = false;
    core::config_version m_held;
    bool m_started = false;
    core::monotonic_time m_startedAt;
    core::monotonic_time m_nextRequest;
    core::monotonic_time m_nextRead;
    unsigned m_attempt = 0;
};

} // namespace jackdawweir::distribution
