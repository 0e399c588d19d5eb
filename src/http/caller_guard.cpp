#include "jackdawweir/http/caller_guard.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "http/server_connection.h"

namespace jackdawweir::http {

namespace {

using internal::server_connection;

// A connection that holds less is left alone, since little is gained by it.
constexpr std::uint64_t minShedBytes = std::uint64_t{4} * 1024;

// Returns the connection with the earliest time, or nullptr. `timeOf` returns std::nullopt for a
// connection that is not a candidate.
template<typename TimeOf>
std::shared_ptr<server_connection> oldestOf(const std::set<server_connection *> &connections,
                                            TimeOf timeOf)
{
    server_connection *oldest = nullptr;
    std::chrono::steady_clock::time_point oldestSince;
    for (server_connection *each : connections) {
        const std::optional<std::chrono::steady_clock::time_point> since = timeOf(*each);
        if (since && (oldest == nullptr || *since < oldestSince)) {
            oldest = each;
            oldestSince = *since;
        }
    }
    return oldest == nullptr ? nullptr : oldest->shared_from_this();
}

} // namespace

const char *toString(shed_reason reason)
{
    switch (reason) {
    case shed_reason::UnfinishedRequest:
        return "unfinished-request";
    case shed_reason::RefusedRequest:
        return "refused-request";
    case shed_reason::UnreadResponse:
        return "unread-response";
    case shed_reason::TooManyConnections:
        return "too-many-connections";
    }
    return "unknown";
}

caller_guard::caller_guard(boost::asio::io_context &context,
                           std::shared_ptr<core::memory_budget> budget,
                           shed_handler handler)
    : m_context(context)
    , m_budget(std::move(budget))
    , m_handler(std::move(handler))
{
    m_budget->onExceeded([this] { enforceSoon(); });
}

caller_guard::~caller_guard()
{
    *m_isAlive = false;
    m_budget->onExceeded(nullptr);
}

const std::shared_ptr<core::memory_budget> &caller_guard::budget() const
{
    return m_budget;
}

void caller_guard::recordReplaced(const server_connection &replaced)
{
    m_handler(shed_caller{shed_reason::TooManyConnections, replaced.unfinishedBytes()});
}

// Not at once: a claim may grow in the middle of a call that does not expect connections to close.
void caller_guard::enforceSoon()
{
    if (std::exchange(m_isScheduled, true)) {
        return;
    }
    boost::asio::post(m_context, [this, isAlive = m_isAlive] {
        if (*isAlive) {
            m_isScheduled = false;
            enforce();
        }
    });
}

void caller_guard::enforce()
{
    while (m_budget->exceedsShare(core::memory_use::CallerRequest)) {
        const auto oldest = oldestUnfinished(nullptr);
        if (oldest == nullptr) {
            break;
        }
        shedUnfinished(*oldest);
    }
    while (m_budget->isExceeded() && shedOldest()) {
    }
}

bool caller_guard::makeRoomFor(std::uint64_t bytes, const server_connection &receiver)
{
    while (!m_budget->permits(core::memory_use::CallerRequest, bytes)) {
        const auto oldest = oldestUnfinished(&receiver);
        if (oldest == nullptr) {
            return false;
        }
        shedUnfinished(*oldest);
    }
    return true;
}

bool caller_guard::shedOldest()
{
    const auto unfinished = oldestUnfinished(nullptr);
    const auto unread = oldestUnread();
    if (unfinished == nullptr && unread == nullptr) {
        return false;
    }
    const bool isUnread = unfinished == nullptr
        || (unread != nullptr && unread->unreadSince() < unfinished->unfinishedSince());
    if (isUnread) {
        shedUnread(*unread);
    } else {
        shedUnfinished(*unfinished);
    }
    return true;
}

std::shared_ptr<server_connection>
caller_guard::oldestUnfinished(const server_connection *excluded) const
{
    return oldestOf(m_connections, [excluded](const server_connection &each) {
        return &each != excluded && each.unfinishedBytes() >= minShedBytes ? each.unfinishedSince()
                                                                           : std::nullopt;
    });
}

std::shared_ptr<server_connection> caller_guard::oldestUnread() const
{
    return oldestOf(m_connections, [](const server_connection &each) {
        return each.unreadBytes() >= minShedBytes ? each.unreadSince() : std::nullopt;
    });
}

void caller_guard::shedUnfinished(server_connection &shed)
{
    m_handler(shed_caller{shed_reason::UnfinishedRequest, shed.unfinishedBytes()});
    shed.refuseUnfinished();
}

void caller_guard::shedUnread(server_connection &shed)
{
    m_handler(shed_caller{shed_reason::UnreadResponse, shed.unreadBytes()});
    shed.close();
}

} // namespace jackdawweir::http
