// The timing and limits of the mesh's sources (src/mesh/source.cpp), for tests of their log.
//
//     log_group group(log_group_settings{3, seed, true, meshReplica()});

#pragma once

#include <chrono>

#include "jackdawweir/agreement/replica.h"

namespace jackdawweir::test {

inline agreement::replica_settings meshReplica()
{
    using namespace std::chrono_literals;
    agreement::replica_settings settings;
    settings.heartbeatInterval = 80ms;
    settings.electionTimeout = 400ms;
    settings.leaseDuration = 300ms;
    settings.bootNoticeInterval = 80ms;
    settings.entriesBeforeSnapshot = 24;
    settings.bytesBeforeSnapshot = 1U << 20U;
    settings.removeUnreachableAfter = 2'500ms;
    return settings;
}

} // namespace jackdawweir::test
