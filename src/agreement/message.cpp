#include "jackdawweir/agreement/message.h"

#include "jackdawweir/agreement/effect.h"

namespace jackdawweir::agreement {

const message_header &headerOf(const message &sent)
{
    return std::visit([](const auto &body) -> const message_header & { return body.header; }, sent);
}

const char *toString(replica_role role)
{
    switch (role) {
    case replica_role::Starting:
        return "starting";
    case replica_role::Learner:
        return "learner";
    case replica_role::Follower:
        return "follower";
    case replica_role::Candidate:
        return "candidate";
    case replica_role::Leader:
        return "leader";
    case replica_role::Stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace jackdawweir::agreement
