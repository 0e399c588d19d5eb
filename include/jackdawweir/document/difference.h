// The difference between two documents, which is shown to operators before they submit a change.
//
//     const document_difference difference = differenceOf(current, submitted);
//     std::cout << toText(difference);

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jackdawweir/document/model.h"

namespace jackdawweir::document {

enum class change_kind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

enum class changed_object : std::uint8_t {
    Service,
    Share, // The share of one version of a service that both documents contain.
    Route,
    Move,
};

// One changed object. `before` is empty for an added object and `after` for a removed one.
struct change {
    change_kind kind = change_kind::Changed;
    changed_object object = changed_object::Service;
    // The name of the service or route; "SERVICE/VERSION" for a share; the service of a move.
    std::string name;
    std::string before;
    std::string after;

    friend bool operator==(const change &, const change &) = default;
};

struct document_difference {
    std::vector<change> changes;

    bool empty() const
    {
        return changes.empty();
    }
};

// Returns the changes that turn `before` into `after`. Objects are matched by name; their order is
// ignored.
document_difference differenceOf(const document &before, const document &after);

// Returns one line for each change: "+ OBJECT NAME: AFTER", "- OBJECT NAME: BEFORE" or
// "~ OBJECT NAME: BEFORE -> AFTER". Empty for equal documents.
std::string toText(const document_difference &difference);

// Returns "service", "share", "route" or "move".
const char *toString(changed_object object);
// Returns "added", "removed" or "changed".
const char *toString(change_kind kind);

} // namespace jackdawweir::document
