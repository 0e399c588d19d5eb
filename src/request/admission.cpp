#include "jackdawweir/request/admission.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace jackdawweir::request {

namespace {

constexpr std::uint64_t countBits = 20;
constexpr std::uint64_t countMask = (1ULL << countBits) - 1;
constexpr std::uint64_t secondMask = (1ULL << 24U) - 1;
// Below 3, so that some requests of high urgency always pass and show when the overload ends.
constexpr double maxPressure = 2.95;
constexpr std::int64_t nanosPerSecond = 1'000'000'000;

std::int64_t nanosOf(core::monotonic_time time)
{
    return std::chrono::nanoseconds(time.time_since_epoch()).count();
}

std::int64_t secondOf(core::monotonic_time time)
{
    return nanosOf(time) / nanosPerSecond;
}

double elapsedFractionOf(core::monotonic_time time)
{
    return static_cast<double>(nanosOf(time) % nanosPerSecond) / nanosPerSecond;
}

struct rate_counts {
    std::uint64_t current = 0;
    std::uint64_t previous = 0;
};

// Returns the counts as of `second`: the count of the second before becomes the previous one, and
// older counts are dropped.
rate_counts unpack(std::uint64_t packed, std::int64_t second)
{
    const std::uint64_t wantedSecond = static_cast<std::uint64_t>(second) & secondMask;
    const std::uint64_t countedSecond = packed >> (2 * countBits);
    const rate_counts stored{packed & countMask, (packed >> countBits) & countMask};
    if (countedSecond == wantedSecond) {
        return stored;
    }
    return rate_counts{0, ((countedSecond + 1) & secondMask) == wantedSecond ? stored.current : 0};
}

std::uint64_t pack(const rate_counts &counts, std::int64_t second)
{
    const std::uint64_t storedSecond = static_cast<std::uint64_t>(second) & secondMask;
    return (storedSecond << (2 * countBits)) | (counts.previous << countBits) | counts.current;
}

std::size_t columnOf(std::string_view caller, std::size_t row, std::size_t columns)
{
    return XXH3_64bits_withSeed(caller.data(), caller.size(), row + 1) % columns;
}

} // namespace

double admission::rate_counter::rate(std::int64_t second, double elapsedFraction) const
{
    const rate_counts counts = unpack(m_packed.load(std::memory_order_relaxed), second);
    return static_cast<double>(counts.current)
        + static_cast<double>(counts.previous) * (1.0 - elapsedFraction);
}

bool admission::rate_counter::add(std::int64_t second)
{
    std::uint64_t packed = m_packed.load(std::memory_order_relaxed);
    while (true) {
        rate_counts counts = unpack(packed, second);
        const bool isFirst = counts.current == 0;
        counts.current = std::min(counts.current + 1, countMask);
        if (m_packed.compare_exchange_weak(
                packed, pack(counts, second), std::memory_order_relaxed)) {
            return isFirst;
        }
    }
}

admission::admission(const admission_settings &settings)
    : m_settings(settings)
    , m_callerFactor(settings.maxCallerFactor)
    , m_callerRates{std::vector<rate_counter>(columnCount), std::vector<rate_counter>(columnCount)}
{
}

double admission::pressure() const
{
    return m_pressure.load(std::memory_order_relaxed);
}

admission_verdict admission::decide(document::request_urgency urgency,
                                    std::string_view caller,
                                    core::monotonic_time now,
                                    core::random_engine &engine)
{
    closeWindow(now);
    if (isOverShare(caller, now)) {
        return admission_verdict::CallerOverShare;
    }
    const double excess = pressure() - static_cast<double>(urgency);
    if (excess >= 1.0
        || (excess > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(engine) < excess)) {
        return admission_verdict::ShedForUrgency;
    }
    countAdmitted(caller, now);
    return admission_verdict::Admitted;
}

void admission::report(bool overloaded, document::request_urgency urgency, core::monotonic_time now)
{
    m_attempts.fetch_add(1, std::memory_order_relaxed);
    if (overloaded) {
        m_overloads.fetch_add(1, std::memory_order_relaxed);
        const std::uint32_t shedAt = static_cast<std::uint32_t>(urgency) + 1;
        std::uint32_t pressureLimit = m_pressureLimit.load(std::memory_order_relaxed);
        while (pressureLimit < shedAt
               && !m_pressureLimit.compare_exchange_weak(
                   pressureLimit, shedAt, std::memory_order_relaxed)) {
        }
    }
    closeWindow(now);
}

void admission::closeWindow(core::monotonic_time now)
{
    const std::int64_t nowNanos = nanosOf(now);
    std::int64_t end = m_windowEnd.load(std::memory_order_relaxed);
    if (nowNanos < end) {
        return;
    }
    const std::int64_t begin = end - m_settings.window.count();
    const bool hasEnough = m_attempts.load(std::memory_order_relaxed) >= m_settings.minAttempts;
    if (!hasEnough && nowNanos < begin + m_settings.maxWindow.count()) {
        return;
    }
    // Only the thread that advances the end of the window closes it.
    const std::int64_t next = nowNanos + m_settings.window.count();
    if (!m_windowEnd.compare_exchange_strong(end, next, std::memory_order_relaxed)) {
        return;
    }
    const std::uint32_t attempts = m_attempts.exchange(0, std::memory_order_relaxed);
    const std::uint32_t overloads = m_overloads.exchange(0, std::memory_order_relaxed);
    const double pressureLimit = m_pressureLimit.exchange(0, std::memory_order_relaxed);
    const double fraction = attempts == 0 ? 0.0 : static_cast<double>(overloads) / attempts;
    adjustPressure(fraction, pressureLimit, std::chrono::nanoseconds(nowNanos - begin), now);
}

void admission::adjustPressure(double overloadFraction,
                               double pressureLimit,
                               std::chrono::duration<double> elapsed,
                               core::monotonic_time now)
{
    const bool isOverloaded = overloadFraction > m_settings.overloadTarget;
    // At most one second counts: the first window begins at the epoch of the clock, and its length
    // does not reflect the time without overload.
    const double secondsWithoutOverload = std::min(elapsed.count(), 1.0);
    const double step = isOverloaded
        ? m_settings.riseGain * (overloadFraction - m_settings.overloadTarget)
        : -m_settings.fallPerSecond * secondsWithoutOverload;
    const double limit = std::min(maxPressure, std::max(pressureLimit, pressure()));
    m_pressure.store(std::clamp(pressure() + step, 0.0, limit), std::memory_order_relaxed);

    const std::int64_t nowNanos = nanosOf(now);
    if (isOverloaded) {
        m_callerFactor.store(m_settings.callerFactor, std::memory_order_relaxed);
        m_nextGrowthAt.store(nowNanos + nanosPerSecond, std::memory_order_relaxed);
        return;
    }
    if (nowNanos >= m_nextGrowthAt.load(std::memory_order_relaxed)) {
        const double factor
            = m_callerFactor.load(std::memory_order_relaxed) * m_settings.callerFactorGrowth;
        m_callerFactor.store(std::min(factor, m_settings.maxCallerFactor),
                             std::memory_order_relaxed);
        m_nextGrowthAt.store(nowNanos + nanosPerSecond, std::memory_order_relaxed);
    }
}

bool admission::isOverShare(std::string_view caller, core::monotonic_time now)
{
    const double factor = m_callerFactor.load(std::memory_order_relaxed);
    if (factor >= m_settings.maxCallerFactor) {
        return false;
    }
    const std::int64_t second = secondOf(now);
    const double fraction = elapsedFractionOf(now);
    // The smaller of both counters: two callers that share a counter in one row rarely share one in
    // the other row.
    double rate = m_callerRates[0][columnOf(caller, 0, columnCount)].rate(second, fraction);
    rate
        = std::min(rate, m_callerRates[1][columnOf(caller, 1, columnCount)].rate(second, fraction));
    const double active = std::max(1.0, m_activeCallers.rate(second, fraction));
    const double evenShare = m_admitted.rate(second, fraction) / active;
    // A caller that sends its even share at random times stays within three standard deviations of
    // it.
    const double spread = 3.0 * std::sqrt(evenShare);
    return rate > std::max<double>(m_settings.minCallerRate, factor * evenShare + spread);
}

void admission::countAdmitted(std::string_view caller, core::monotonic_time now)
{
    const std::int64_t second = secondOf(now);
    m_admitted.add(second);
    bool isFirst = false;
    for (std::size_t row = 0; row < rowCount; ++row) {
        isFirst = m_callerRates[row][columnOf(caller, row, columnCount)].add(second) || isFirst;
    }
    if (isFirst) {
        m_activeCallers.add(second);
    }
}

} // namespace jackdawweir::request
