// Clocks. Components that read the time are given a clock; state machines take the time as an
// argument.
//
//     system_clock_source clock;
//     machine.tick(clock.monotonicNow());

#pragma once

#include <chrono>

namespace jackdawweir::core {

// Time for leases, timeouts and deadlines; it never goes backwards.
using monotonic_time = std::chrono::steady_clock::time_point;

// Time of day, as operators enter and read it.
using wall_time = std::chrono::system_clock::time_point;

class clock
{
public:
    clock() = default;
    clock(const clock &) = delete;
    clock &operator=(const clock &) = delete;
    virtual ~clock() = default;

    virtual monotonic_time monotonicNow() const = 0;
    virtual wall_time wallNow() const = 0;
};

// Reads the operating system's clocks.
class system_clock_source final : public clock
{
public:
    monotonic_time monotonicNow() const override;
    wall_time wallNow() const override;
};

// A clock that advances only when advance() is called, for tests and experiments.
class manual_clock final : public clock
{
public:
    monotonic_time monotonicNow() const override;
    wall_time wallNow() const override;

    // Advances the monotonic and the wall time by the same step.
    void advance(std::chrono::nanoseconds step);

private:
    std::chrono::nanoseconds m_elapsed{0};
};

} // namespace jackdawweir::core
