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

// The interval at which a driver calls tick of each state machine.
constexpr std::chrono::milliseconds tickInterval{50};

constexpr std::chrono::milliseconds heartbeatInterval{500};
// A lease expires after three missed heartbeats or announcements.
constexpr std::chrono::milliseconds leaseDuration{1500};
// A restarted relay sends no views for this time, in which each node sends a heartbeat and repeats
// a lost update once. Together with one poll interval of a relay of another data centre and one of
// a node that follows that relay, it stays below dataCentreTimeout, so that a restart of all relays
// excludes no data centre.
constexpr std::chrono::milliseconds viewDelayAfterStart{700};
// An update that was not acknowledged is sent again after this time.
constexpr std::chrono::milliseconds retryInterval{200};
// A node without a heartbeat for longer than this has missed one and is listed as a suspect in
// summaries. Thus, even if the next summary is lost, its servers are excluded dataCentreTimeout
// after its last heartbeat.
constexpr std::chrono::milliseconds suspectTimeout{700};
// A follower of a view switches to another relay after this time, two polls without a reply.
constexpr std::chrono::milliseconds viewTimeout{1000};
// Servers of a data centre whose state was not confirmed for this time are excluded from selection.
constexpr std::chrono::milliseconds dataCentreTimeout{2500};
// Records of departed servers are kept for this time, which far exceeds any message delay.
constexpr std::chrono::minutes departedRetention{10};

struct membership_settings {
    core::host_name ownHost;
    core::data_centre_name dataCentre;
    core::endpoint ownEndpoint;
    // Increases with each start of the process: the wall time at start in nanoseconds.
    std::uint64_t incarnation = 0;
    // The relays of the own data centre in this host's order of preference.
    std::vector<core::endpoint> relays;
    // The relays of the other data centres in this host's order of preference. Used by relays only.
    std::map<core::data_centre_name, std::vector<core::endpoint>> remoteRelays;
};

class settings_builder : public core::host_settings_builder<settings_builder, membership_settings>
{
public:
    settings_builder &addRelay(std::string address);
    settings_builder &addRemoteRelay(std::string dataCentre, std::string address);

    // Returns InvalidArgument if a name, the incarnation or the relays are missing.
    core::result<membership_settings> build() const;
};

} // namespace jackdawweir::membership
