#include <utility>

#include "jackdawweir/request/server_selector.h"

namespace jackdawweir::request {

server_claim::server_claim(membership::backend_server server,
                           std::shared_ptr<server_health> health,
                           bool isCold,
                           bool isBusy)
    : m_server(std::move(server))
    , m_health(std::move(health))
    , m_isCold(isCold)
    , m_isBusy(isBusy)
{
}

server_claim::server_claim(server_claim &&other) noexcept = default;

server_claim &server_claim::operator=(server_claim &&other) noexcept
{
    // The destructor of `other` releases the slot that this claim has held so far.
    std::swap(m_server, other.m_server);
    std::swap(m_health, other.m_health);
    std::swap(m_isCold, other.m_isCold);
    std::swap(m_isBusy, other.m_isBusy);
    return *this;
}

server_claim::~server_claim()
{
    if (m_health) {
        m_health->release();
    }
}

const membership::backend_server &server_claim::server() const
{
    return m_server;
}

bool server_claim::isCold() const
{
    return m_isCold;
}

bool server_claim::isBusy() const
{
    return m_isBusy;
}

void server_claim::reportLoad(std::uint32_t reportedLoad, core::monotonic_time now)
{
    if (m_health) {
        m_health->recordLoad(reportedLoad, now);
    }
}

void server_claim::finish(const attempt_outcome &attemptResult,
                          std::chrono::nanoseconds elapsed,
                          core::monotonic_time now)
{
    if (m_health) {
        m_health->record(attemptResult, elapsed, now);
        m_health->release();
        m_health.reset();
    }
}

} // namespace jackdawweir::request
