// The log in memory: a snapshot and the entries after it, with the members at each point.

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
    entry_log(std::optional<snapshot> compacted, std::vector<entry> entries);

    // Returns the index of the first entry that is not compacted.
    std::uint64_t firstIndex() const;
    log_position last() const;
    bool isEmpty() const;
    // Returns the size of the payloads after the snapshot.
    std::size_t bytes() const;

    // Returns nothing for a compacted entry, but for the last one, and for one after the end.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    // Returns entries from an index that is not compacted, up to a size but at least one.
    std::vector<entry> slice(std::uint64_t from, std::size_t maxBytes) const;
    // Returns the entries from one index up to and including another.
    std::vector<entry> between(std::uint64_t from, std::uint64_t upTo) const;

    // Returns the index before the run of entries that share the term of the one at `index`.
    std::uint64_t indexBeforeTermOf(std::uint64_t index) const;

    void append(entry added);
    void truncateFrom(std::uint64_t index);

    // Compacts the entries up to and including `index`.
    void compact(std::uint64_t index, std::string state);
    // Takes a leader's snapshot; entries after it stay where they continue it.
    void install(snapshot installed);

    const std::optional<snapshot> &compacted() const;

    // The members by the newest entry, which takes effect when appended.
    const membership &members() const;
    std::uint64_t membershipIndex() const;

private:
    void noteMembership(const entry &added);
    // Takes the members and the size anew from the entries.
    void recount();

    std::optional<snapshot> m_compacted;
    std::vector<entry> m_entries;
    std::size_t m_bytes = 0;
    // The members by the index from which they hold; never empty.
    std::vector<std::pair<std::uint64_t, membership>> m_memberships;
};

} // namespace jackdawweir::agreement::internal
