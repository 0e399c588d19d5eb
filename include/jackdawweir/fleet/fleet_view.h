// What one node knows of all hosts, merged from the directories of the sources.
//
//     fleet_view view(settings);
//     view.apply(source, update, now);
//     for (const host_record &each : view.hosts(now)) { ... }
//
// The directory comes from the sources of the own data centre, since bytes between data centres
// cost more, and from all others while none of those speaks. A host counts while a directory heard
// lately lists it. Without news from any source the node keeps what it knew: a data centre that is
// cut off goes on serving with the servers it can reach.

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

namespace jackdawweir::fleet {

struct fleet_view_settings {
    // The directory of a source that is silent for this long is left out while another one speaks.
    std::chrono::milliseconds sourceSilence{1'500};
    // The directories of other data centres are asked for once the sources of the own one are
    // silent for this long: two report intervals and a pause of the source's process.
    std::chrono::milliseconds ownSourceSilence{1'000};
    // What a source listed before its restart counts this much longer, while hosts report to it
    // anew.
    std::chrono::milliseconds carryOver{1'000};
    // A silent source is forgotten after this, unless settings name it.
    std::chrono::milliseconds forgetSourceAfter{30'000};
    // How long a newer view of another data centre waits for a source of the own one.
    std::chrono::milliseconds waitForOwn{80};
};

// Where a source's directory stands at this node.
struct directory_position {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
};

class fleet_view
{
public:
    explicit fleet_view(const fleet_view_settings &settings = {});

    // Returns true where the hosts may have changed.
    bool apply(const core::endpoint &source, const source_update &update, core::monotonic_time now);

    // Returns true where a source fell silent or spoke again since the last call, which may change
    // the hosts.
    bool refresh(core::monotonic_time now);

    // Returns true where the node should ask this source for its directory.
    bool wantsDirectory(const core::endpoint &source,
                        const core::data_centre_name &ownDataCentre,
                        core::monotonic_time now) const;

    directory_position directoryPosition(const core::endpoint &source) const;

    // The newest record of each host that counts.
    std::vector<host_record> hosts(core::monotonic_time now) const;

    // Returns the source to ask for a view newer than `revision`, or nothing where no source that
    // spoke lately has one. A source of the own data centre is waited for and asked first, since
    // bytes between data centres cost more.
    std::optional<core::endpoint> newerSource(std::uint64_t revision,
                                              const core::data_centre_name &ownDataCentre,
                                              core::monotonic_time now,
                                              core::random_engine &engine) const;

    // Returns true where some source spoke lately.
    bool hasReachableSource(core::monotonic_time now) const;

    // The sources to report to: those that settings name, and those heard of.
    std::vector<core::endpoint> sources() const;
    void setConfigured(const std::vector<core::endpoint> &configured);

private:
    struct known_source {
        bool isConfigured = false;
        core::monotonic_time heardAt;
        core::monotonic_time mentionedAt;
        bool wasHeard = false;
        core::data_centre_name dataCentre;
        std::uint64_t revision = 0;
        core::monotonic_time revisionAt;
        directory_position directory;
        // Whether its last update came with the directory.
        bool hasDirectory = false;
        std::map<core::host_name, host_record> hosts;
        // Listed before the source restarted.
        std::map<core::host_name, host_record> carried;
        core::monotonic_time carriedUntil;
    };

    using newest_records = std::map<core::host_name, const host_record *>;

    static bool wasHeardWithin(const known_source &source,
                               std::chrono::milliseconds silence,
                               core::monotonic_time now);
    bool isHeard(const known_source &source, core::monotonic_time now) const;
    static void addRecords(const std::map<core::host_name, host_record> &records,
                           newest_records &newest);
    static void takeDirectory(const source_update &update, known_source &known);

    fleet_view_settings m_settings;
    std::map<core::endpoint, known_source> m_sources;
};

} // namespace jackdawweir::fleet
