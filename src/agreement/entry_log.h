// The log in memory: the latest snapshot, the entries after it and the members at each index.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jackdawweir/agreement/entry.h"

namespace jackdawweir::agreement::internal {

class entry_log
{
public:
    entry_log(std::optional<snapshot> latestSnapshot, std::vector<entry> entries);

    // Returns the index of the first entry that is not compacted.
    std::uint64_t firstIndex() const;
    log_position last() const;
    bool isEmpty() const;
    // Returns the total payload size of the entries after the snapshot.
    std::size_t payloadBytes() const;

    // Returns nullopt for an index after the end of the log and for a compacted entry, except the
    // last compacted one.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    // Returns entries from an index that is not compacted, up to a total payload size, but at least
    // one entry.
    std::vector<entry> slice(std::uint64_t from, std::size_t maxBytes) const;
    // Returns the entries from `from` up to and including `upTo`.
    std::vector<entry> between(std::uint64_t from, std::uint64_t upTo) const;

    // Returns the index before the consecutive entries that have the same term as the one at
    // `index`.
    std::uint64_t indexBeforeTermOf(std::uint64_t index) const;

    void append(entry added);
    void truncateFrom(std::uint64_t index);

    // Compacts the entries up to and including `index`.
    void compact(std::uint64_t index, std::string state);
    // Installs a snapshot. The entries after it are kept if they continue it.
    void install(snapshot installed);

    const std::optional<snapshot> &latestSnapshot() const;

    // The members according to the newest membership entry, which takes effect once it is appended.
    const membership &members() const;
    std::uint64_t membershipIndex() const;

private:
    void recordMembership(const entry &added);
    void recomputeMembersAndSize();

    std::optional<snapshot> m_latestSnapshot;
    std::vector<entry> m_entries;
    std::size_t m_payloadBytes = 0;
    // The memberships, each with the index from which it holds; never empty.
    std::vector<std::pair<std::uint64_t, membership>> m_memberships;
};

} // namespace jackdawweir::agreement::internal
