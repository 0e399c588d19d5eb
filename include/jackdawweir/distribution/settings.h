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

// A driver calls tick of each state machine at this interval.
constexpr std::chrono::milliseconds tickInterval{50};

constexpr std::chrono::milliseconds heartbeatInterval{500};
// A peer that left three heartbeats in a row without reply is taken as lost.
constexpr std::chrono::milliseconds peerTimeout{1500};

// A node that no relay answered for this time subscribes to a source. It leaves time for a second
// choice of relays after the first was taken as lost.
constexpr std::chrono::milliseconds sourceFallbackDelay{2000};

constexpr std::chrono::milliseconds firstBackoff{100};
constexpr std::chrono::milliseconds mostBackoff{5000};

// A witness that lacks a version is asked again after this time.
constexpr std::chrono::milliseconds witnessPollInterval{100};

// Confirmed reads start only after this time, since witnesses of the own data centre, which cost
// the source nothing, answer sooner in all but a restart of the whole data centre.
constexpr std::chrono::milliseconds confirmedReadDelay{400};

constexpr std::size_t smallRelayCount = 3;
constexpr std::size_t largeRelayCount = 5;
// A data centre with this many relay candidates has largeRelayCount relays.
constexpr std::size_t largeDataCentreHosts = 15;

constexpr std::size_t relayFanOut = 64;
constexpr std::size_t deltasKept = 64;

enum class admission_policy : std::uint8_t {
    ByCost, // 1 for a request, and 1 more for each 16 KiB of the reply.
    ByCount, // 1 for each request, whatever it costs; for comparison only.
};

struct admission_settings {
    admission_policy policy = admission_policy::ByCost;
    // Cost admitted in a second in the long run; 1,000 bounds replies to about 16 MB/s.
    std::uint32_t ratePerSecond = 1000;
    // Cost admitted at once after a pause.
    std::uint32_t burst = 200;
};

struct distribution_settings {
    core::host_name ownHost;
    core::data_centre_name dataCentre;
    core::endpoint ownEndpoint;
    // Greater at each start of the process: wall time in nanoseconds at start.
    std::uint64_t incarnation = 0;
    // The relays of the data centre, which are its witnesses, in the order of their endpoints.
    std::vector<core::endpoint> relays;
    std::vector<core::endpoint> sources;
    admission_settings admission;

    bool isRelay() const;
    // The number of witnesses that are a majority.
    std::size_t witnessMajority() const;
};

class settings_builder : public core::host_settings_builder<settings_builder, distribution_settings>
{
public:
    // Relay candidates are those of the own data centre, the same list on each of its hosts.
    settings_builder &addRelayCandidate(std::string address);
    settings_builder &addSource(std::string address);
    settings_builder &admission(admission_settings admission);

    // Chooses the relays. Errors: InvalidArgument where a name, the incarnation, the candidates or
    // the sources are missing.
    core::result<distribution_settings> build() const;

private:
    std::vector<core::endpoint> m_candidates;
};

} // namespace jackdawweir::distribution
