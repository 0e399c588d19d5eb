#include "jackdawweir/agreement/replica.h"

#include <utility>

#include "agreement/replica_core.h"

namespace jackdawweir::agreement {

replica::replica(replica_settings settings, stored_state stored, const core::random_engine &engine)
    : m_core(
        std::make_unique<internal::replica_core>(std::move(settings), std::move(stored), engine))
{
}

replica::~replica() = default;

effects replica::start(core::monotonic_time now)
{
    return m_core->start(now);
}

effects replica::tick(core::monotonic_time now)
{
    return m_core->tick(now);
}

effects replica::receive(const message &received, core::monotonic_time now)
{
    return m_core->receive(received, now);
}

effects replica::propose(std::uint64_t proposal, std::string command, core::monotonic_time now)
{
    return m_core->propose(proposal, std::move(command), now);
}

effects replica::confirmRead(std::uint64_t read, core::monotonic_time now)
{
    return m_core->confirmRead(read, now);
}

void replica::setSourceAddresses(std::vector<core::endpoint> sourceAddresses)
{
    m_core->setSourceAddresses(std::move(sourceAddresses));
}

effects replica::persisted(std::uint64_t sequence, core::monotonic_time now)
{
    return m_core->persisted(sequence, now);
}

effects replica::persistFailed(std::uint64_t /*sequence*/, core::monotonic_time now)
{
    return m_core->persistFailed(now);
}

effects replica::compact(std::uint64_t index, std::string state, core::monotonic_time now)
{
    return m_core->compact(index, std::move(state), now);
}

replica_id replica::id() const
{
    return m_core->id();
}

replica_role replica::role() const
{
    return m_core->role();
}

std::uint64_t replica::term() const
{
    return m_core->term();
}

bool replica::hasLease(core::monotonic_time now) const
{
    return m_core->hasLease(now);
}

core::endpoint replica::leaderAddress() const
{
    return m_core->leaderAddress();
}

membership replica::members() const
{
    return m_core->log().members();
}

std::uint64_t replica::commitIndex() const
{
    return m_core->commitIndex();
}

log_position replica::lastPosition() const
{
    return m_core->log().last();
}

} // namespace jackdawweir::agreement
