// Waits for a condition instead of for a fixed time.
//
//     CPPUNIT_ASSERT(waitUntil(std::chrono::seconds(10), [&] { return serves(host); }));

#pragma once

#include <chrono>
#include <thread>

namespace jackdawweir::process_test {

// Asks the condition until it holds. Returns false where it does not hold by the bound.
template<typename Condition>
bool waitUntil(std::chrono::milliseconds bound, Condition condition)
{
    constexpr std::chrono::milliseconds pollInterval{20};
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace jackdawweir::process_test
