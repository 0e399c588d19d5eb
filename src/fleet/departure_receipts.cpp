#include "jackdawweir/fleet/departure_receipts.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::fleet {

departure_receipts::departure_receipts(const departure_receipt_settings &settings)
    : m_settings(settings)
{
}

std::size_t departure_receipts::copiesOf(const departure &counted) const
{
    const auto found = m_copies.find(counted.instance);
    if (found == m_copies.end()) {
        return 0;
    }
    const auto &stored = found->second.startedUpTo;
    return static_cast<std::size_t>(
        std::count_if(stored.begin(), stored.end(), [&](const auto &each) {
            return each.second >= counted.startedUpTo;
        }));
}

bool departure_receipts::isStoredAt(const core::endpoint &source, const departure &counted) const
{
    const auto found = m_copies.find(counted.instance);
    if (found == m_copies.end()) {
        return false;
    }
    const auto stored = found->second.startedUpTo.find(source);
    return stored != found->second.startedUpTo.end() && stored->second >= counted.startedUpTo;
}

std::optional<bool> departure_receipts::decide(const awaited_departure &pending,
                                               core::monotonic_time now) const
{
    const bool isSingleCopyEnough = now >= pending.since + m_settings.singleCopyAfter;
    if (copiesOf(pending.awaited) >= m_settings.copies
        || (isSingleCopyEnough && isStoredAt(pending.soleSource, pending.awaited))) {
        return true;
    }
    return now >= pending.since + m_settings.timeout ? std::optional(false) : std::nullopt;
}

void departure_receipts::await(const departure &awaited,
                               const core::endpoint &soleSource,
                               departure_handler handler,
                               core::monotonic_time now)
{
    m_awaited.push_back(awaited_departure{awaited, soleSource, std::move(handler), now});
    completeDecided(now);
}

void departure_receipts::add(const core::endpoint &source,
                             const std::vector<departure> &stored,
                             core::monotonic_time now)
{
    for (const departure &each : stored) {
        stored_copies &copies = m_copies[each.instance];
        copies.receivedAt = now;
        std::chrono::milliseconds &startedUpTo = copies.startedUpTo[source];
        startedUpTo = std::max(startedUpTo, each.startedUpTo);
    }
    completeDecided(now);
}

bool departure_receipts::isNoticeDue(core::monotonic_time now)
{
    const bool isDue = !m_awaited.empty()
        && (!m_noticeSentAt || now >= *m_noticeSentAt + m_settings.noticeInterval);
    if (isDue) {
        m_noticeSentAt = now;
    }
    return isDue;
}

void departure_receipts::expire(core::monotonic_time now)
{
    completeDecided(now);
    std::erase_if(m_copies, [&](const auto &each) {
        return now >= each.second.receivedAt + m_settings.retention;
    });
}

void departure_receipts::completeDecided(core::monotonic_time now)
{
    std::vector<std::pair<departure_handler, bool>> decided;
    std::erase_if(m_awaited, [&](awaited_departure &pending) {
        const std::optional<bool> decision = decide(pending, now);
        if (decision) {
            decided.emplace_back(std::move(pending.handler), *decision);
        }
        return decision.has_value();
    });
    // A handler may await another departure, so it is called once the list is complete again.
    for (const auto &[handler, isStored] : decided) {
        handler(isStored);
    }
}

} // namespace jackdawweir::fleet
