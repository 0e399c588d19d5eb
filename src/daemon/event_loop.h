// A thread that runs posted functions and timers one after another. State machines live on one loop
// and are touched by no other thread.
//
//     event_loop loop("node");
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

    // Ends the thread after the function that runs now; what is still queued is dropped.
    void stop();

    template<typename Function>
    void post(Function &&function)
    {
        boost::asio::post(m_context, std::forward<Function>(function));
    }

    // Runs a function on the loop and returns its result. Must not be called on the loop itself or
    // after stop().
    template<typename Function>
    auto call(Function &&function) -> std::invoke_result_t<Function>
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::forward<Function>(function));
        auto done = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return done.get();
    }

    // Calls a function again and again until stop(). Called before start() or on the loop.
    void every(std::chrono::milliseconds interval, std::function<void()> function);

private:
    struct repeating {
        boost::asio::steady_timer timer;
        std::chrono::milliseconds interval;
        std::function<void()> function;
    };

    void schedule(const std::shared_ptr<repeating> &task);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace jackdawweir::daemon
