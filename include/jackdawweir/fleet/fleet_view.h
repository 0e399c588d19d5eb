// The hosts of the mesh in the view of one node, merged from the directories of the sources.
//
//     fleet_view view(settings);
//     view.apply(source, update, now);
//     for (const host_record &each : view.hosts(now)) { ... }
//
// A node reports to the sources of its own data centre and requests their directories, since
// traffic between data centres costs more. While none of these is reachable and in contact with the
// leader, the node uses two sources of other data centres as well. A host is listed while the
// directory of a reachable source lists it. While no source is reachable, the node keeps the last
// known hosts, so that a data centre that is cut off continues to serve requests with the servers
// it can reach.
//
// A source uses the same class for the hosts that report to other sources.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/fleet/reply_watch.h"

namespace jackdawweir::fleet {

struct fleet_view_settings {
    // A source that sends no update for this long is unreachable, and its directory is ignored
    // while another source that sends one is reachable.
    std::chrono::milliseconds sourceTimeout{1'500};
    // The sources of other data centres are used once no source of the own one has sent an update
    // for this long: two report intervals and a pause of the source's process.
    std::chrono::milliseconds ownSourceTimeout{1'000};
    // How many sources of other data centres are then used.
    std::size_t substitutes = 2;
    // How many sources of the own data centre the directory is requested from.
    std::size_t ownDirectories = 2;
    // How long substitutes that do not answer are tried before others are.
    std::chrono::milliseconds substituteTrial{1'000};
    // Distinguishes this node from others, so that nodes spread over the sources.
    std::uint64_t spread = 0;
    // Whether the last known hosts stay listed while no source is reachable.
    bool keepsLastHosts = true;
    // Hosts that a source listed before its restart stay listed for this long, while their nodes
    // report to it again.
    std::chrono::milliseconds restartGracePeriod{1'000};
    // A source that neither sends an update nor is advertised by another source for this long is
    // removed, unless the settings name it.
    std::chrono::milliseconds expireSourceAfter{30'000};
    // How long the node waits for a source of its own data centre to offer a newer view before it
    // requests the view from another data centre.
    std::chrono::milliseconds ownDataCentreWait{80};
};

// The last change of a source's directory that the node has applied. Both are zero if the node
// holds no directory of the source.
struct directory_position {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
};

class fleet_view
{
public:
    explicit fleet_view(const fleet_view_settings &settings = {});

    // Returns true if the hosts may have changed.
    bool apply(const core::endpoint &source, const source_update &update, core::monotonic_time now);

    // Records a report to a source. Returns true if the source has answered no report for so long
    // that the link to it should be replaced first.
    bool reportTo(const core::endpoint &source, core::monotonic_time now);

    // Removes what has expired. Returns true if the hosts may have changed: a source became
    // unreachable or reachable again since the last call, or the hosts that a source listed before
    // its restart expired.
    bool refresh(core::monotonic_time now);

    // Returns true if the node should request the directory of this source.
    bool wantsDirectory(const core::endpoint &source,
                        const core::data_centre_name &ownDataCentre,
                        core::monotonic_time now) const;

    // Returns the newest revision that any source has announced.
    std::uint64_t announcedRevision() const;

    // Returns when a source that was in contact with the leader last sent an update; the start of
    // the clock before the first.
    core::monotonic_time currentSourceHeardAt() const;

    directory_position directoryPosition(const core::endpoint &source) const;

    // Returns the newest record of each listed host.
    std::vector<host_record> hosts(core::monotonic_time now) const;
    // Returns the newest record of each host that a reachable source of this data centre lists.
    std::vector<host_record> hostsListedIn(const core::data_centre_name &dataCentre,
                                           core::monotonic_time now) const;

    // Returns the source to request a view newer than `revision` from, or nothing if no reachable
    // source has one or the node should wait. A source of the own data centre is waited for and
    // preferred, since traffic between data centres costs more.
    std::optional<core::endpoint> newerSource(std::uint64_t revision,
                                              const core::data_centre_name &ownDataCentre,
                                              core::monotonic_time now,
                                              core::random_engine &engine) const;

    // Returns true if some source sent an update within the source timeout.
    bool hasReachableSource(core::monotonic_time now) const;

    // Returns all known sources: those that the settings name and those that other sources
    // advertise.
    std::vector<core::endpoint> sources() const;
    // Returns the sources to report to: those of the own data centre, and substitutes while none of
    // these serves this node.
    std::vector<core::endpoint> sourcesToReportTo(const core::data_centre_name &ownDataCentre,
                                                  core::monotonic_time now) const;
    // Returns the source that passes the rollout reports on: the first reachable one to report to.
    std::optional<core::endpoint> primarySource(const core::data_centre_name &ownDataCentre,
                                                core::monotonic_time now) const;
    // Returns the sources that are asked to store a departure: the preferred ones of the own data
    // centre and those that would substitute for them, so that two can store it where the own data
    // centre has only one.
    std::vector<core::endpoint> sourcesToStoreAt(const core::data_centre_name &ownDataCentre,
                                                 core::monotonic_time now) const;
    // Returns the only known source of the data centre; empty if there are more or none.
    core::endpoint soleSourceOf(const core::data_centre_name &dataCentre) const;
    // Returns false if the data centre of every known source is known and is another one.
    bool mayHaveSourceIn(const core::data_centre_name &dataCentre) const;
    void setConfigured(const std::vector<core::endpoint> &configured);

private:
    struct known_source {
        bool isConfigured = false;
        core::monotonic_time updatedAt;
        // The answers of the source to reports.
        reply_watch answers;
        core::monotonic_time advertisedAt;
        bool wasReachable = false;
        core::data_centre_name dataCentre;
        // Whether it was in contact with the leader at its last update.
        bool isCurrent = false;
        std::uint64_t revision = 0;
        core::monotonic_time revisionAt;
        directory_position directory;
        // Whether its last update included the directory.
        bool hasDirectory = false;
        std::map<core::host_name, host_record> hosts;
        // Hosts that the source listed before its restart.
        std::map<core::host_name, host_record> hostsBeforeRestart;
        core::monotonic_time hostsBeforeRestartUntil;
    };

    static bool wasUpdatedWithin(const known_source &source,
                                 std::chrono::milliseconds timeout,
                                 core::monotonic_time now);
    bool isReachable(const known_source &source, core::monotonic_time now) const;
    // Returns true if some source of the own data centre is reachable and in contact with the
    // leader.
    bool isOwnServing(const core::data_centre_name &ownDataCentre, core::monotonic_time now) const;
    // Returns the sources of other data centres, or of unknown ones, to use while none of the own
    // one serves this node.
    std::vector<core::endpoint> substitutes(const core::data_centre_name &ownDataCentre,
                                            core::monotonic_time now) const;
    // Returns the sources of the own data centre, the preferred ones first.
    std::vector<core::endpoint> ownSources(const core::data_centre_name &ownDataCentre,
                                           core::monotonic_time now) const;
    std::uint64_t preferenceOf(const core::endpoint &source) const;
    static void addRecords(const std::map<core::host_name, host_record> &hosts,
                           std::vector<host_record> &records);
    static void storeDirectory(const source_update &update, known_source &known);

    fleet_view_settings m_settings;
    std::map<core::endpoint, known_source> m_sources;
    // The time of the first update of any source. The sources of the own data centre are learned
    // with it, so the directories of others are not requested immediately.
    std::optional<core::monotonic_time> m_firstUpdateAt;
};

} // namespace jackdawweir::fleet
