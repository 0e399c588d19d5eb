// The timing and limits of the replicated log of the mesh's sources.
//
//     agreement::replica_settings settings = replicaTiming();
//     settings.address = ownEndpoint;

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jackdawweir/agreement/replica.h"

namespace jackdawweir::mesh {

// Sources of one region answer within a few milliseconds and sync to disk within tens of
// milliseconds. A process that has used up its share of a core pauses for a tenth of a second,
// which must not be taken for the loss of the leader.
constexpr std::chrono::milliseconds heartbeatInterval{80};
constexpr std::chrono::milliseconds electionTimeout{400};
constexpr std::chrono::milliseconds leaseDuration{300};

// Limits of the log, which a starting source reads with part of a core while every node waits for
// it.
constexpr std::uint64_t entriesBeforeSnapshot = 24;
constexpr std::size_t bytesBeforeSnapshot = 1U << 20U;

// A source that is unreachable for this long is removed from the voters if enough others answer.
// It is longer than the pause of a process that restarts. Where a successor is ready, the log
// removes the source sooner.
constexpr std::chrono::milliseconds removeUnreachableVotersAfter{2'500};

// Returns the settings that are the same for every source.
inline agreement::replica_settings replicaTiming()
{
    agreement::replica_settings settings;
    settings.heartbeatInterval = heartbeatInterval;
    settings.electionTimeout = electionTimeout;
    settings.leaseDuration = leaseDuration;
    settings.bootNoticeInterval = heartbeatInterval;
    settings.entriesBeforeSnapshot = entriesBeforeSnapshot;
    settings.bytesBeforeSnapshot = bytesBeforeSnapshot;
    settings.removeUnreachableAfter = removeUnreachableVotersAfter;
    return settings;
}

} // namespace jackdawweir::mesh
