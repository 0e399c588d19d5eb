// Serves the newest configuration to subscribers. Each source and each relay contains one.
//
//     publisher source(publisher_role::Source, settings.admission);
//     run(source.publish(committedVersion, resources, now));
//     run(source.handle(peer, received, now));

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/distribution/admission_limit.h"
#include "jackdawweir/distribution/effects.h"

namespace jackdawweir::distribution {

enum class publisher_role : std::uint8_t {
    Source, // Accepts any number of subscribers and serves confirmed reads.
    Relay, // Accepts at most relayFanOut subscribers.
};

class publisher
{
public:
    publisher(publisher_role role, admission_settings admission);

    // Stores a committed version and pushes it to the subscribers. A version that is not newer
    // changes nothing.
    effects publish(const core::config_version &version,
                    std::shared_ptr<const document::resource_map> resources,
                    core::monotonic_time now);

    // Answers a heartbeat, fetch_request or floor_request; other messages are ignored.
    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    // Passes the result of a confirm_read effect: the newest committed version or an error. Sources
    // only.
    effects completeRead(std::uint64_t readId, const core::result<core::config_version> &outcome);

    // Removes subscribers without a heartbeat for peerTimeout.
    effects tick(core::monotonic_time now);

    // Sets the state that heartbeat replies carry. Relays only.
    void setWitnessState(witness_state state);

    const core::config_version &newest() const;
    std::size_t subscriberCount() const;

private:
    struct subscriber_record {
        std::uint64_t session = 0;
        core::config_version held;
        subscription mode = subscription::Push;
        core::monotonic_time lastHeartbeat;
    };

    // The names of the resources that differ between a version and the one after it, and whether
    // the base contains them.
    struct change {
        core::config_version base;
        std::map<std::string, bool> names;
    };

    effects answer(const core::endpoint &peer, const heartbeat &received, core::monotonic_time now);
    effects
    answer(const core::endpoint &peer, const fetch_request &received, core::monotonic_time now);
    effects
    answer(const core::endpoint &peer, const floor_request &received, core::monotonic_time now);
    template<typename Other>
    effects answer(const core::endpoint &, const Other &, core::monotonic_time);

    bool hasRoomFor(const core::endpoint &peer) const;
    void removeExpiredSubscribers(core::monotonic_time now);
    message updateFrom(const core::config_version &base, std::uint64_t session) const;
    const delta *deltaFrom(const core::config_version &base) const;

    publisher_role m_role;
    admission_limit m_admission;
    core::config_version m_newest;
    std::shared_ptr<const document::resource_map> m_resources;
    std::size_t m_snapshotBytes = 0;
    std::deque<change> m_changes;
    // Deltas to the newest version by base, each built once and sent to many subscribers.
    mutable std::map<core::config_version, std::shared_ptr<const delta>> m_deltas;
    std::map<core::endpoint, subscriber_record> m_subscribers;
    witness_state m_witness;
    std::uint64_t m_readId = 0;
    bool m_isReading = false;
    // The sessions, by peer, of the requests that the running read answers, and of those that
    // arrived after it began.
    std::map<core::endpoint, std::uint64_t> m_runningReadRequests;
    std::map<core::endpoint, std::uint64_t> m_queuedReadRequests;
};

} // namespace jackdawweir::distribution
