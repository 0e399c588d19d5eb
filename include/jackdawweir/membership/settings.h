// Settings of the state machines of this module.
//
//     core::result<membership_settings> settings
//         = settings_builder()
//               .ownHost("quarry-3")
//               .dataCentre("north")
//               .ownEndpoint("10.0.0.3:7001")
//               .incarnation(startTimeNanoseconds)
//               .addRelay("10.0.0.4:7001")
//               .addRemoteRelay("south", "10.1.0.2:7001")
//               .build();

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/host_settings.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::membership {

// A driver calls tick of each state machine at this interval.
constexpr std::chrono::milliseconds tickInterval{50};

constexpr std::chrono::milliseconds heartbeatInterval{500};
// Three missed heartbeats or announcements end a lease.
constexpr std::chrono::milliseconds leaseDuration{1500};
// A restarted relay hands out no view for this time, in which each node sends a heartbeat and
// repeats a lost update once. With a poll of each of two followers it stays below
// dataCentreTimeout, so that a restart of all relays excludes no data centre.
constexpr std::chrono::milliseconds viewDelayAfterStart{700};
// An update without acknowledgement is sent again after this time.
constexpr std::chrono::milliseconds retryInterval{200};
// A node silent for longer than this has missed a heartbeat and is named in summaries: if the next
// summary is lost, its servers are excluded dataCentreTimeout after its last heartbeat.
constexpr std::chrono::milliseconds suspicionAfter{700};
// A follower of a view uses another relay after two polls without answer.
constexpr std::chrono::milliseconds viewTimeout{1000};
// Entries of a data centre not heard from for this time are excluded from selection.
constexpr std::chrono::milliseconds dataCentreTimeout{2500};
// Departed servers are remembered for this time, far above any delay of a message.
constexpr std::chrono::minutes departedKept{10};

struct membership_settings {
    core::host_name ownHost;
    core::data_centre_name dataCentre;
    core::endpoint ownEndpoint;
    // Greater at each start of the process: wall time in nanoseconds at start.
    std::uint64_t incarnation = 0;
    // The relays of the own data centre, the one this host prefers first.
    std::vector<core::endpoint> relays;
    // The relays of the other data centres, the one this host prefers first. Used by relays only.
    std::map<core::data_centre_name, std::vector<core::endpoint>> remoteRelays;
};

class settings_builder : public core::host_settings_builder<settings_builder, membership_settings>
{
public:
    settings_builder &addRelay(std::string address);
    settings_builder &addRemoteRelay(std::string dataCentre, std::string address);

    // Errors: InvalidArgument where a name, the incarnation or the relays are missing.
    core::result<membership_settings> build() const;
};

} // namespace jackdawweir::membership
