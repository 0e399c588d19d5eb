// Settings of the state machines of this module.
//
//     core::result<distribution_settings> settings = settings_builder()
//                                                        .ownHost("quarry-3")
//                                                        .dataCentre("north")
//                                                        .ownEndpoint("10.0.0.3:7001")
//                                                        .incarnation(startTimeNanoseconds)
//                                                        .addRelayCandidate("10.0.0.3:7001")
//                                                        .addSource("10.0.9.1:7001")
//                                                        .build();

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/host_settings.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::distribution {

// The interval at which a driver calls tick of each state machine.
constexpr std::chrono::milliseconds tickInterval{50};

constexpr std::chrono::milliseconds heartbeatInterval{500};
// A peer that does not reply for three heartbeat intervals is treated as failed.
constexpr std::chrono::milliseconds peerTimeout{1500};

// A node without a reply from any relay for this time subscribes to a source. It exceeds
// peerTimeout to leave time for trying other relays after the first ones failed.
constexpr std::chrono::milliseconds sourceFallbackDelay{2000};

constexpr std::chrono::milliseconds initialBackoff{100};
constexpr std::chrono::milliseconds maxBackoff{5000};

// A witness that does not hold a version is polled again after this time plus a backoff.
constexpr std::chrono::milliseconds witnessPollInterval{100};

// Confirmed reads start only after this time. Witnesses of the own data centre reply sooner, except
// after a restart of the whole data centre, and do not load the source.
constexpr std::chrono::milliseconds confirmedReadDelay{400};

constexpr std::size_t smallRelayCount = 3;
constexpr std::size_t largeRelayCount = 5;
// A data centre with at least this many relay candidates has largeRelayCount relays, a smaller one
// smallRelayCount.
constexpr std::size_t largeDataCentreHosts = 15;

constexpr std::size_t relayFanOut = 64;
// The number of past versions from which a publisher can build a delta.
constexpr std::size_t maxDeltaHistory = 64;

enum class admission_policy : std::uint8_t {
    ByCost, // Charges 1 for a request and 1 for each 16 KiB of the reply.
    ByCount, // Charges 1 for each request regardless of its reply; for comparison only.
};

struct admission_settings {
    admission_policy policy = admission_policy::ByCost;
    // The average cost admitted per second; 1,000 limits replies to about 16 MB/s.
    std::uint32_t ratePerSecond = 1000;
    // The cost admitted at once after an idle period.
    std::uint32_t burst = 200;
};

struct distribution_settings {
    core::host_name ownHost;
    core::data_centre_name dataCentre;
    core::endpoint ownEndpoint;
    // Increases with each start of the process: the wall time at start in nanoseconds.
    std::uint64_t incarnation = 0;
    // The relays of the data centre, which are its witnesses, sorted by endpoint.
    std::vector<core::endpoint> relays;
    std::vector<core::endpoint> sources;
    admission_settings admission;

    bool isRelay() const;
    // Returns the number of witnesses that form a majority.
    std::size_t witnessMajority() const;
};

class settings_builder : public core::host_settings_builder<settings_builder, distribution_settings>
{
public:
    // Adds a relay candidate of the own data centre. All its hosts need the same list.
    settings_builder &addRelayCandidate(std::string address);
    settings_builder &addSource(std::string address);
    settings_builder &admission(admission_settings admission);

    // Chooses the relays from the candidates. Returns InvalidArgument if a name, the incarnation,
    // the candidates or the sources are missing.
    core::result<distribution_settings> build() const;

private:
    std::vector<core::endpoint> m_candidates;
};

} // namespace jackdawweir::distribution
