// Keeps the callers of all listeners of a process within one memory budget and each listener within
// its number of connections. While requests hold more than their share, the oldest unfinished one
// is answered 503, since it has not run. While the whole budget is exceeded, the oldest of these
// and of the responses that their callers do not take goes; the latter's connection is closed.
//
//     caller_guard guard(context, budget, [](const shed_caller &shed) { ... });
//     listener_settings settings;
//     settings.guard = &guard;
//
// All calls are made on the thread of the io_context.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>

#include "jackdawweir/core/memory_budget.h"

namespace jackdawweir::http {

namespace internal {
class server_connection;
} // namespace internal

enum class shed_reason : std::uint8_t {
    UnfinishedRequest, // The request was still being received when memory was short.
    RefusedRequest, // The request was complete, and there was no memory for it.
    UnreadResponse, // The caller had not taken its response when memory was short.
    TooManyConnections, // Another connection needed its place.
};

const char *toString(shed_reason reason);

// A caller whose request was refused or whose connection was closed.
struct shed_caller {
    shed_reason reason = shed_reason::UnfinishedRequest;
    // What was held for the caller.
    std::uint64_t bytes = 0;
};

using shed_handler = std::function<void(const shed_caller &)>;

class caller_guard
{
public:
    caller_guard(boost::asio::io_context &context,
                 std::shared_ptr<core::memory_budget> budget,
                 shed_handler handler);
    ~caller_guard();
    caller_guard(const caller_guard &) = delete;
    caller_guard &operator=(const caller_guard &) = delete;

    const std::shared_ptr<core::memory_budget> &budget() const;

    // Records a connection that is closed to make place for another.
    void recordReplaced(const internal::server_connection &replaced);

    // Takes memory back until the budget is kept or nothing is left to take back.
    void enforce();

private:
    friend class internal::server_connection;

    // Refuses unfinished requests of others than `receiver` until a request of this size is
    // permitted. Returns false if it is not permitted then.
    bool makeRoomFor(std::uint64_t bytes, const internal::server_connection &receiver);

    void enforceSoon();
    std::shared_ptr<internal::server_connection>
    oldestUnfinished(const internal::server_connection *excluded) const;
    std::shared_ptr<internal::server_connection> oldestUnread() const;
    void shedUnfinished(internal::server_connection &shed);
    void shedUnread(internal::server_connection &shed);
    bool shedOldest();

    boost::asio::io_context &m_context;
    std::shared_ptr<core::memory_budget> m_budget;
    shed_handler m_handler;
    std::set<internal::server_connection *> m_connections;
    // Cleared by the destructor, which a scheduled call may outlive.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bool m_isScheduled = false;
};

} // namespace jackdawweir::http
