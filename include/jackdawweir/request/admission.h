// Decides whether a node admits a request for one service. Two rules apply while the service is
// overloaded: a caller may not take much more than an even share, and the least urgent requests are
// shed first. A request that was admitted is never shed later. Every member may be called from
// several threads without a lock.
//
//     admission controller(admission_settings{});
//     switch (controller.decide(contract.urgency, caller, now, engine)) { ... }
//     ...
//     controller.report(outcome.origin == failure_origin::Overload, contract.urgency, now);

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
    // The minimum time between two changes of the pressure. A window with fewer than minAttempts
    // attempts is extended up to maxWindow.
    std::chrono::nanoseconds window = std::chrono::milliseconds(50);
    // The fraction of attempts that may end in overload before the pressure rises.
    double overloadTarget = 0.05;
    std::uint32_t minAttempts = 8;
    std::chrono::nanoseconds maxWindow = std::chrono::milliseconds(200);
    // A window raises the pressure by this gain times the fraction of overloads above
    // overloadTarget.
    double riseGain = 1.0;
    // Pressure subtracted for each second without overload.
    double fallPerSecond = 1.0;
    // A caller may take this multiple of an even share while the service is overloaded. After that
    // the factor is multiplied by callerFactorGrowth in each second without overload; the limit is
    // lifted when the factor reaches maxCallerFactor.
    double callerFactor = 1.5;
    double callerFactorGrowth = 1.2;
    double maxCallerFactor = 64.0;
    // Requests per second that every caller may make regardless of this limit.
    std::uint32_t minCallerRate = 5;
};

class admission
{
public:
    explicit admission(const admission_settings &settings);

    // `caller` is the value of callerHeader, or else the caller's address.
    admission_verdict decide(document::request_urgency urgency,
                             std::string_view caller,
                             core::monotonic_time now,
                             core::random_engine &engine);

    // Records the end of an attempt, or with `overloaded` set that no server had a free slot.
    // Requests of a higher urgency are not shed because of this overload.
    void report(bool overloaded, document::request_urgency urgency, core::monotonic_time now);

    // Returns a value between 0 and 3. 0: nothing is shed; 1: all requests of low urgency are shed;
    // 3: all requests are shed.
    double pressure() const;

private:
    // Counts the requests of the current and of the previous second. Both counts and the number of
    // the second are packed into one word, so that one compare-and-swap changes all three.
    class rate_counter
    {
    public:
        double rate(std::int64_t second, double elapsedFraction) const;
        // Returns true for the first request in this second.
        bool add(std::int64_t second);

    private:
        std::atomic<std::uint64_t> m_packed{0};
    };

    static constexpr std::size_t rowCount = 2;
    static constexpr std::size_t columnCount = 1024;

    void closeWindow(core::monotonic_time now);
    void adjustPressure(double overloadFraction,
                        double pressureLimit,
                        std::chrono::duration<double> elapsed,
                        core::monotonic_time now);
    bool isOverShare(std::string_view caller, core::monotonic_time now);
    void countAdmitted(std::string_view caller, core::monotonic_time now);

    const admission_settings m_settings;
    std::atomic<double> m_pressure{0.0};
    std::atomic<double> m_callerFactor;
    std::atomic<std::int64_t> m_windowEnd{0};
    std::atomic<std::int64_t> m_nextGrowthAt{0};
    std::atomic<std::uint32_t> m_attempts{0};
    std::atomic<std::uint32_t> m_overloads{0};
    // The pressure at which the most urgent request that met overload in this window is shed. The
    // pressure does not rise above it.
    std::atomic<std::uint32_t> m_pressureLimit{0};
    rate_counter m_admitted;
    rate_counter m_activeCallers;
    // A count-min sketch of the request rates of the callers.
    std::array<std::vector<rate_counter>, rowCount> m_callerRates;
};

} // namespace jackdawweir::request
