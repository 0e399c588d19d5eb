#include "jackdawweir/mesh/awaited_revisions.h"

#include <utility>

namespace jackdawweir::mesh {

void awaited_revisions::add(std::uint64_t revision, core::monotonic_time deadline, handler done)
{
    m_reads.emplace(revision, awaiting_read{deadline, std::move(done)});
}

void awaited_revisions::reached(std::uint64_t revision)
{
    // Each read is removed before its handler is called, since the handler may add another one.
    while (!m_reads.empty() && m_reads.begin()->first <= revision) {
        const handler done = std::move(m_reads.begin()->second.done);
        m_reads.erase(m_reads.begin());
        done(true);
    }
}

void awaited_revisions::expire(core::monotonic_time now)
{
    for (auto each = m_reads.begin(); each != m_reads.end();) {
        if (now < each->second.deadline) {
            ++each;
            continue;
        }
        const handler done = std::move(each->second.done);
        each = m_reads.erase(each);
        done(false);
    }
}

} // namespace jackdawweir::mesh
