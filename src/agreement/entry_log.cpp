#include "agreement/entry_log.h"

#include <algorithm>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement::internal {

entry_log::entry_log(std::optional<snapshot> latestSnapshot, std::vector<entry> entries)
    : m_latestSnapshot(std::move(latestSnapshot))
    , m_entries(std::move(entries))
{
    recomputeMembersAndSize();
}

std::uint64_t entry_log::firstIndex() const
{
    return m_latestSnapshot ? m_latestSnapshot->last.index + 1 : 1;
}

log_position entry_log::last() const
{
    if (!m_entries.empty()) {
        return log_position{m_entries.back().term, m_entries.back().index};
    }
    return m_latestSnapshot ? m_latestSnapshot->last : log_position{};
}

bool entry_log::isEmpty() const
{
    return last().index == 0;
}

std::size_t entry_log::payloadBytes() const
{
    return m_payloadBytes;
}

std::optional<std::uint64_t> entry_log::termAt(std::uint64_t index) const
{
    const std::uint64_t first = firstIndex();
    if (index + 1 == first) {
        return m_latestSnapshot ? m_latestSnapshot->last.term : 0;
    }
    if (index < first || index > last().index) {
        return std::nullopt;
    }
    return m_entries[index - first].term;
}

std::vector<entry> entry_log::slice(std::uint64_t from, std::size_t maxBytes) const
{
    std::vector<entry> sliced;
    std::size_t bytes = 0;
    for (std::size_t at = from - firstIndex(); at < m_entries.size(); ++at) {
        bytes += m_entries[at].payload.size();
        if (!sliced.empty() && bytes > maxBytes) {
            break;
        }
        sliced.push_back(m_entries[at]);
    }
    return sliced;
}

std::vector<entry> entry_log::between(std::uint64_t from, std::uint64_t upTo) const
{
    if (from > upTo) {
        return {};
    }
    const auto begin = m_entries.begin() + static_cast<std::ptrdiff_t>(from - firstIndex());
    return {begin, begin + static_cast<std::ptrdiff_t>(upTo - from + 1)};
}

std::uint64_t entry_log::indexBeforeTermOf(std::uint64_t index) const
{
    const std::optional<std::uint64_t> term = termAt(index);
    while (index >= firstIndex() && termAt(index) == term) {
        --index;
    }
    return index;
}

void entry_log::append(entry added)
{
    recordMembership(added);
    m_payloadBytes += added.payload.size();
    m_entries.push_back(std::move(added));
}

void entry_log::truncateFrom(std::uint64_t index)
{
    m_entries.resize(std::min<std::size_t>(m_entries.size(), index - firstIndex()));
    recomputeMembersAndSize();
}

void entry_log::compact(std::uint64_t index, std::string state)
{
    snapshot taken;
    taken.last = log_position{termAt(index).value_or(0), index};
    for (const auto &[from, held] : m_memberships) {
        if (from <= index) {
            taken.members = held;
        }
    }
    taken.state = std::move(state);
    install(std::move(taken));
}

void entry_log::install(snapshot installed)
{
    const std::uint64_t index = installed.last.index;
    if (termAt(index) == installed.last.term) {
        const auto dropped = static_cast<std::ptrdiff_t>(index + 1 - firstIndex());
        m_entries.erase(m_entries.begin(), m_entries.begin() + dropped);
    } else {
        m_entries.clear();
    }
    m_latestSnapshot = std::move(installed);
    recomputeMembersAndSize();
}

const std::optional<snapshot> &entry_log::latestSnapshot() const
{
    return m_latestSnapshot;
}

const membership &entry_log::members() const
{
    return m_memberships.back().second;
}

std::uint64_t entry_log::membershipIndex() const
{
    return m_memberships.back().first;
}

void entry_log::recordMembership(const entry &added)
{
    if (added.kind != entry_kind::Membership) {
        return;
    }
    core::result<membership> decoded = wire::decodeValue<membership>(added.payload);
    if (core::isOk(decoded)) {
        m_memberships.emplace_back(added.index, core::valueIn(std::move(decoded)));
    }
}

void entry_log::recomputeMembersAndSize()
{
    m_memberships.clear();
    if (m_latestSnapshot) {
        m_memberships.emplace_back(m_latestSnapshot->last.index, m_latestSnapshot->members);
    } else {
        m_memberships.emplace_back(0, membership{});
    }
    m_payloadBytes = 0;
    for (const entry &each : m_entries) {
        recordMembership(each);
        m_payloadBytes += each.payload.size();
    }
}

} // namespace jackdawweir::agreement::internal
