#include <algorithm>

#include "agreement/replica_core.h"

namespace jackdawweir::agreement::internal {

void replica_core::replyToAppend(const message_header &header,
                                 std::chrono::nanoseconds sentAt,
                                 bool isAccepted,
                                 std::uint64_t matchIndex,
                                 send_after requirement)
{
    append_reply reply;
    reply.header = headerTo(header.from);
    reply.isAccepted = isAccepted;
    // This replica does not follow a leader of an earlier term, so this reply must not extend that
    // leader's lease.
    reply.isCounted = m_isStartConfirmed && header.term == m_hard.term;
    reply.matchIndex = matchIndex;
    reply.sentAt = sentAt;
    reply.peerBoots = m_hard.peerBoots;
    send(header.fromAddress, reply, requirement);
}

// Follows the sender as the leader. Returns false if its term is an earlier one; a reply then
// carries the current term.
bool replica_core::followSender(const message_header &header,
                                std::chrono::nanoseconds sentAt,
                                core::monotonic_time now)
{
    if (header.term < m_hard.term) {
        replyToAppend(header, sentAt, false, m_commitIndex, send_after::HardState);
        return false;
    }
    becomeFollower(header.term, header.fromAddress);
    m_lastLeaderContact = now;
    resetElectionDeadline(now);
    return true;
}

// Appends the entries that this log does not hold, in place of any entries that conflict with them.
// Returns whether anything was appended.
bool replica_core::appendMissing(const append_request &request)
{
    bool isChanged = false;
    for (const entry &each : request.entries) {
        const bool isCompacted = each.index < m_log.firstIndex();
        if (isCompacted || m_log.termAt(each.index) == each.term) {
            continue;
        }
        if (each.index <= m_log.last().index) {
            m_log.truncateFrom(each.index);
            m_persistedIndex = std::min(m_persistedIndex, each.index - 1);
            for (pending_persist &pending : m_pendingPersists) {
                pending.lastIndex = std::min(pending.lastIndex, each.index - 1);
            }
        }
        m_log.append(each);
        markEntriesChanged(each.index);
        isChanged = true;
    }
    return isChanged;
}

void replica_core::handle(const append_request &request, core::monotonic_time now)
{
    if (!followSender(request.header, request.sentAt, now)) {
        return;
    }
    const std::uint64_t previous = request.previous.index;
    // Compacted entries are committed and therefore equal the leader's.
    const bool isCompacted = previous + 1 < m_log.firstIndex();
    if (!isCompacted && m_log.termAt(previous) != request.previous.term) {
        const std::uint64_t resumeIndex = previous > m_log.last().index
            ? m_log.last().index
            : m_log.indexBeforeTermOf(previous);
        replyToAppend(request.header,
                      request.sentAt,
                      false,
                      std::max(resumeIndex, m_commitIndex),
                      send_after::HardState);
        return;
    }
    const bool isChanged = appendMissing(request);
    const std::uint64_t end = previous + request.entries.size();
    advanceCommit(std::min({request.commitIndex, end, m_log.last().index}));
    if (isChanged) {
        replyToAppend(request.header, request.sentAt, true, end, send_after::Everything);
    } else {
        // Sent without waiting for entries to be synced, so that the leader does not lose its lease
        // because of a slow disk.
        replyToAppend(request.header,
                      request.sentAt,
                      true,
                      std::min(end, m_persistedIndex),
                      send_after::HardState);
    }
}

void replica_core::handle(const snapshot_request &request, core::monotonic_time now)
{
    if (!followSender(request.header, request.sentAt, now)) {
        return;
    }
    const std::uint64_t index = request.sent.last.index;
    if (index <= m_commitIndex) {
        replyToAppend(request.header,
                      request.sentAt,
                      true,
                      std::min(m_commitIndex, m_persistedIndex),
                      send_after::HardState);
        return;
    }
    m_log.install(request.sent);
    m_commitIndex = index;
    m_persistedIndex = 0;
    for (pending_persist &pending : m_pendingPersists) {
        pending.lastIndex = 0;
    }
    m_snapshotChanged = true;
    m_effects.emplace_back(restore_snapshot{request.sent});
    replyToAppend(request.header, request.sentAt, true, index, send_after::Everything);
}

} // namespace jackdawweir::agreement::internal
