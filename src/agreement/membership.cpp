#include "jackdawweir/agreement/membership.h"

#include <algorithm>

namespace jackdawweir::agreement {

const member *membership::find(replica_id id) const
{
    const auto found = std::find_if(
        members.begin(), members.end(), [id](const member &each) { return each.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool membership::isVoter(replica_id id) const
{
    const member *found = find(id);
    return found != nullptr && found->role == member_role::Voter;
}

bool membership::wasRemoved(replica_id id) const
{
    return std::find(removed.begin(), removed.end(), id) != removed.end();
}

std::vector<member> membership::voters() const
{
    std::vector<member> found;
    std::copy_if(members.begin(), members.end(), std::back_inserter(found), [](const member &each) {
        return each.role == member_role::Voter;
    });
    return found;
}

std::size_t membership::quorum() const
{
    return voters().size() / 2 + 1;
}

} // namespace jackdawweir::agreement
