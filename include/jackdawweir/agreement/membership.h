// The members of a replicated log.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"

namespace jackdawweir::agreement {

// Identifies the data of one replica. It is drawn at random for each empty data folder, so that a
// replica that lost its disk is never mistaken for the one that voted before. Zero means none.
struct replica_id {
    std::uint64_t value = 0;

    bool isNone() const
    {
        return value == 0;
    }

    friend auto operator<=>(const replica_id &, const replica_id &) = default;

    MSGPACK_DEFINE_ARRAY(value)
};

// A learner receives the log but neither votes nor counts towards the quorum of a commit.
enum class member_role : std::uint8_t {
    Learner,
    Voter,
};

} // namespace jackdawweir::agreement

MSGPACK_ADD_ENUM(jackdawweir::agreement::member_role)

namespace jackdawweir::agreement {

struct member {
    replica_id id;
    core::endpoint address;
    member_role role = member_role::Learner;

    friend bool operator==(const member &, const member &) = default;

    MSGPACK_DEFINE_ARRAY(id, address, role)
};

struct membership {
    std::vector<member> members;
    // Removed identities, newest last. They are never admitted again, so that a delayed message of
    // a lost replica does not add it back. At most maxRemoved are kept.
    std::vector<replica_id> removed;

    static constexpr std::size_t maxRemoved = 256;

    const member *find(replica_id id) const;
    bool isVoter(replica_id id) const;
    bool wasRemoved(replica_id id) const;
    std::vector<member> voters() const;
    // Returns the number of voters that form a majority.
    std::size_t quorum() const;

    friend bool operator==(const membership &, const membership &) = default;

    MSGPACK_DEFINE_ARRAY(members, removed)
};

} // namespace jackdawweir::agreement
