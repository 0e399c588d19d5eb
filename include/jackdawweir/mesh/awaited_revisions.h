// The reads that wait until this source has applied the revision that the leader confirmed.
//
//     awaited_revisions reads;
//     reads.add(revision, deadline, [](bool isReached) { ... });
//     reads.reached(appliedRevision);
//     reads.expire(now);

#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::mesh {

class awaited_revisions
{
public:
    // Called with true once the revision is reached, or with false at the deadline.
    using handler = std::function<void(bool isReached)>;

    void add(std::uint64_t revision, core::monotonic_time deadline, handler done);

    // Completes the reads of this revision and of earlier ones.
    void reached(std::uint64_t revision);

    // Completes the reads whose deadline has passed.
    void expire(core::monotonic_time now);

private:
    struct awaiting_read {
        core::monotonic_time deadline;
        handler done;
    };

    std::multimap<std::uint64_t, awaiting_read> m_reads;
};

} // namespace jackdawweir::mesh
