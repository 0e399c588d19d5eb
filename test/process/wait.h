// Polls a condition, so that tests need no fixed sleeps.
//
//     CPPUNIT_ASSERT(waitUntil(std::chrono::seconds(10), [&] { return serves(host); }));

#pragma once

#include <chrono>
#include <thread>

namespace jackdawweir::process_test {

// Polls the condition until it holds. Returns false if it does not hold within the timeout.
template<typename Condition>
bool waitUntil(std::chrono::milliseconds timeout, Condition condition)
{
    constexpr std::chrono::milliseconds pollInterval{20};
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace jackdawweir::process_test
