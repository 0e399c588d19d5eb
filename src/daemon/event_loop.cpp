#include "daemon/event_loop.h"

namespace jackdawweir::daemon {

event_loop::event_loop()
    : m_context(1)
    , m_work(boost::asio::make_work_guard(m_context))
{
}

event_loop::~event_loop()
{
    stop();
}

void event_loop::start()
{
    m_thread = std::thread([this] { m_context.run(); });
}

void event_loop::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void event_loop::every(std::chrono::milliseconds interval, std::function<void()> function)
{
    schedule(std::make_shared<periodic_task>(
        periodic_task{boost::asio::steady_timer(m_context), interval, std::move(function)}));
}

void event_loop::schedule(const std::shared_ptr<periodic_task> &task)
{
    task->timer.expires_after(task->interval);
    task->timer.async_wait([this, task](const boost::system::error_code &failure) {
        if (failure) {
            return;
        }
        task->function();
        schedule(task);
    });
}

} // namespace jackdawweir::daemon
