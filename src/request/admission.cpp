#include "jackdawweir/request/admission.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace jackdawweir::request {

namespace {

constexpr std::uint64_t countBits = 20;
constexpr std::uint64_t countMask = (1ULL << countBits) - 1;
constexpr std::uint64_t secondMask = (1ULL << 24U) - 1;
// Some requests of every urgency but the lowest pass, so that the end of an overload is seen.
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

double elapsedPartOf(core::monotonic_time time)
{
    return static_cast<double>(nanosOf(time) % nanosPerSecond) / nanosPerSecond;
}

struct rate_counts {
    std::uint64_t current = 0;
    std::uint64_t previous = 0;
};

// Returns the counts as seen in `second`; counts of an older second have moved on or are gone.
rate_counts unpack(std::uint64_t packed, std::int64_t second)
{
    const std::uint64_t wanted = static_cast<std::uint64_t>(second) & secondMask;
    const std::uint64_t counted = packed >> (2 * countBits);
    const rate_counts stored{packed & countMask, (packed >> countBits) & countMask};
    if (counted == wanted) {
        return stored;
    }
    return rate_counts{0, ((counted + 1) & secondMask) == wanted ? stored.current : 0};
}

std::uint64_t pack(const rate_counts &counts, std::int64_t second)
{
    const std::uint64_t kept = static_cast<std::uint64_t>(second) & secondMask;
    return (kept << (2 * countBits)) | (counts.previous << countBits) | counts.current;
}

std::size_t columnOf(std::string_view caller, std::size_t row, std::size_t columns)
{
    return XXH3_64bits_withSeed(caller.data(), caller.size(), row + 1) % columns;
}

} // namespace

double admission::rate_counter::rate(std::int64_t second, double elapsedPart) const
{
    const rate_counts counts = unpack(m_packed.load(std::memory_order_relaxed), second);
    return static_cast<double>(counts.current)
        + static_cast<double>(counts.previous) * (1.0 - elapsedPart);
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
    , m_callerFactor(settings.callerFactorEnd)
    , m_callers{std::vector<rate_counter>(columnCount), std::vector<rate_counter>(columnCount)}
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
        std::uint32_t highest = m_highest.load(std::memory_order_relaxed);
        while (highest < shedAt
               && !m_highest.compare_exchange_weak(highest, shedAt, std::memory_order_relaxed)) {
        }
    }
    closeWindow(now);
}

void admission::closeWindow(core::monotonic_time now)
{
    const std::int64_t at = nanosOf(now);
    std::int64_t end = m_windowEnd.load(std::memory_order_relaxed);
    if (at < end) {
        return;
    }
    const std::int64_t begin = end - m_settings.window.count();
    const bool hasEnough = m_attempts.load(std::memory_order_relaxed) >= m_settings.minAttempts;
    if (!hasEnough && at < begin + m_settings.longestWindow.count()) {
        return;
    }
    // The thread that moves the end of the window closes it.
    const std::int64_t next = at + m_settings.window.count();
    if (!m_windowEnd.compare_exchange_strong(end, next, std::memory_order_relaxed)) {
        return;
    }
    const std::uint32_t attempts = m_attempts.exchange(0, std::memory_order_relaxed);
    const std::uint32_t overloads = m_overloads.exchange(0, std::memory_order_relaxed);
    const double highest = m_highest.exchange(0, std::memory_order_relaxed);
    const double part = attempts == 0 ? 0.0 : static_cast<double>(overloads) / attempts;
    adjustPressure(part, highest, std::chrono::nanoseconds(at - begin), now);
}

void admission::adjustPressure(double overloadPart,
                               double highest,
                               std::chrono::duration<double> elapsed,
                               core::monotonic_time now)
{
    const bool isOverloaded = overloadPart > m_settings.overloadTarget;
    // The first window begins at the start of the clock and says nothing about the time without
    // overload.
    const double calmSeconds = std::min(elapsed.count(), 1.0);
    const double step = isOverloaded
        ? m_settings.riseGain * (overloadPart - m_settings.overloadTarget)
        : -m_settings.fallPerSecond * calmSeconds;
    const double most = std::min(maxPressure, std::max(highest, pressure()));
    m_pressure.store(std::clamp(pressure() + step, 0.0, most), std::memory_order_relaxed);

    const std::int64_t at = nanosOf(now);
    if (isOverloaded) {
        m_callerFactor.store(m_settings.callerFactor, std::memory_order_relaxed);
        m_reliefAt.store(at + nanosPerSecond, std::memory_order_relaxed);
        return;
    }
    if (at >= m_reliefAt.load(std::memory_order_relaxed)) {
        const double factor
            = m_callerFactor.load(std::memory_order_relaxed) * m_settings.callerRelief;
        m_callerFactor.store(std::min(factor, m_settings.callerFactorEnd),
                             std::memory_order_relaxed);
        m_reliefAt.store(at + nanosPerSecond, std::memory_order_relaxed);
    }
}

bool admission::isOverShare(std::string_view caller, core::monotonic_time now)
{
    const double factor = m_callerFactor.load(std::memory_order_relaxed);
    if (factor >= m_settings.callerFactorEnd) {
        return false;
    }
    const std::int64_t second = secondOf(now);
    const double part = elapsedPartOf(now);
    // Two callers that share a counter of one row rarely share that of the other.
    double rate = m_callers[0][columnOf(caller, 0, columnCount)].rate(second, part);
    rate = std::min(rate, m_callers[1][columnOf(caller, 1, columnCount)].rate(second, part));
    const double active = std::max(1.0, m_activeCallers.rate(second, part));
    const double evenShare = m_admitted.rate(second, part) / active;
    // Callers that send at random times stay within three standard deviations of their share.
    const double spread = 3.0 * std::sqrt(evenShare);
    return rate > std::max<double>(m_settings.callerFloor, factor * evenShare + spread);
}

void admission::countAdmitted(std::string_view caller, core::monotonic_time now)
{
    const std::int64_t second = secondOf(now);
    m_admitted.add(second);
    bool isFirst = false;
    for (std::size_t row = 0; row < rowCount; ++row) {
        isFirst = m_callers[row][columnOf(caller, row, columnCount)].add(second) || isFirst;
    }
    if (isFirst) {
        m_activeCallers.add(second);
    }
}

} // namespace jackdawweir::request
