// Decides whether a node starts a request for one service. Two rules apply: a caller may not take
// much more than an even share while the service is overloaded, and under overload the least
// urgent requests are shed first. A request that was admitted is never shed later. Every member may
// be called from several threads without a lock.
//
//     admission gate(admission_settings{});
//     switch (gate.decide(contract.urgency, caller, now, engine)) { ... }
//     ...
//     gate.report(outcome.origin == failure_origin::Overload, contract.urgency, now);

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::request {

enum class admission_verdict : std::uint8_t {
    Admitted,
    ShedForUrgency, // The service is overloaded and the request is among the least urgent.
    CallerOverShare, // The caller takes more than its share of an overloaded service.
};

struct admission_settings {
    // The least time between two changes of pressure; a window with few attempts is extended.
    std::chrono::nanoseconds window = std::chrono::milliseconds(50);
    // The part of attempts that may end in overload before the pressure rises.
    double overloadTarget = 0.05;
    std::uint32_t minAttempts = 8;
    std::chrono::nanoseconds longestWindow = std::chrono::milliseconds(200);
    // Pressure added in a window in which every attempt ended in overload.
    double riseGain = 1.0;
    // Pressure taken away in each second without overload.
    double fallPerSecond = 1.0;
    // A caller may take this multiple of an even share while the service is overloaded. The factor
    // grows by callerRelief in each calm second, and the bound ends above callerFactorEnd.
    double callerFactor = 1.5;
    double callerRelief = 1.2;
    double callerFactorEnd = 64.0;
    // Requests each second that a caller always gets past the caller bound.
    std::uint32_t callerFloor = 5;
};

class admission
{
public:
    explicit admission(const admission_settings &settings);

    // The caller is named by callerHeader or by its address.
    admission_verdict decide(document::request_urgency urgency,
                             std::string_view caller,
                             core::monotonic_time now,
                             core::random_engine &engine);

    // Takes in the end of an attempt, or that no server had a free slot (overloaded). Requests of a
    // higher urgency are not shed for it.
    void report(bool overloaded, document::request_urgency urgency, core::monotonic_time now);

    // From 0 (nothing is shed) over 1 (low urgency is shed) to 3 (everything is shed).
    double pressure() const;

private:
    // Requests of the current and of the previous second, packed with the number of the second
    // into one word so that a plain compare-and-swap changes all three.
    class rate_counter
    {
    public:
        double rate(std::int64_t second, double elapsedPart) const;
        // Returns true for the first request in this second.
        bool add(std::int64_t second);

    private:
        std::atomic<std::uint64_t> m_packed{0};
    };

    static constexpr std::size_t rowCount = 2;
    static constexpr std::size_t columnCount = 1024;

    void closeWindow(core::monotonic_time now);
    void adjustPressure(double overloadPart,
                        double highest,
                        std::chrono::duration<double> elapsed,
                        core::monotonic_time now);
    bool isOverShare(std::string_view caller, core::monotonic_time now);
    void countAdmitted(std::string_view caller, core::monotonic_time now);

    const admission_settings m_settings;
    std::atomic<double> m_pressure{0.0};
    std::atomic<double> m_callerFactor;
    std::atomic<std::int64_t> m_windowEnd{0};
    std::atomic<std::int64_t> m_reliefAt{0};
    std::atomic<std::uint32_t> m_attempts{0};
    std::atomic<std::uint32_t> m_overloads{0};
    // The pressure at which the most urgent request that met overload is shed, in this window.
    std::atomic<std::uint32_t> m_highest{0};
    rate_counter m_admitted;
    rate_counter m_activeCallers;
    std::array<std::vector<rate_counter>, rowCount> m_callers;
};

} // namespace jackdawweir::request
