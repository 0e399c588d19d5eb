// A thread that runs posted functions and timers one at a time. A state machine is accessed only by
// the thread of its event loop, and so needs no lock.
//
//     event_loop loop;
//     loop.every(50ms, [&] { tick(); });
//     loop.start();
//     const int count = loop.call([&] { return machine.count(); });

#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jackdawweir::daemon {

class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    boost::asio::io_context &context()
    {
        return m_context;
    }

    void start();

    // Waits for the current function to return and ends the thread. Queued functions are dropped.
    void stop();

    template<typename Function>
    void post(Function &&function)
    {
        boost::asio::post(m_context, std::forward<Function>(function));
    }

    // Runs a function on the loop, waits for it and returns its result. Must not be called on the
    // loop itself or after stop(), where it would wait forever.
    template<typename Function>
    auto call(Function &&function) -> std::invoke_result_t<Function>
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::forward<Function>(function));
        auto done = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return done.get();
    }

    // Calls a function periodically until stop(). Must be called before start() or on the loop.
    void every(std::chrono::milliseconds interval, std::function<void()> function);

private:
    struct periodic_task {
        boost::asio::steady_timer timer;
        std::chrono::milliseconds interval;
        std::function<void()> function;
    };

    void schedule(const std::shared_ptr<periodic_task> &task);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace jackdawweir::daemon
