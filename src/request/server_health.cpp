#include "jackdawweir/request/server_health.h"

#include <algorithm>
#include <limits>

namespace jackdawweir::request {

namespace {

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min();
// The latency is an exponential moving average over about this many samples.
constexpr std::int64_t latencySamples = 8;
constexpr std::int64_t maxHalvings = 30;

std::int64_t nanosOf(core::monotonic_time time)
{
    return std::chrono::nanoseconds(time.time_since_epoch()).count();
}

} // namespace

server_health::server_health(const health_settings &settings, core::monotonic_time slowStartEnd)
    : m_settings(settings)
    , m_slowStartEnd(slowStartEnd)
    , m_reportedAt(never)
    , m_ejectedUntil(never)
    , m_fullUntil(never)
    , m_latencyAt(never)
{
}

bool server_health::tryAcquire(std::uint32_t limit)
{
    std::uint32_t taken = m_inFlight.load(std::memory_order_relaxed);
    while (taken < limit) {
        if (m_inFlight.compare_exchange_weak(taken, taken + 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void server_health::release()
{
    m_inFlight.fetch_sub(1, std::memory_order_relaxed);
}

void server_health::record(const attempt_outcome &attemptResult,
                           std::chrono::nanoseconds elapsed,
                           core::monotonic_time now)
{
    if (attemptResult.fault == attempt_fault::None) {
        std::uint32_t score = m_faultScore.load(std::memory_order_relaxed);
        while (
            score > 0
            && !m_faultScore.compare_exchange_weak(score, score - 1, std::memory_order_relaxed)) {
        }
        if (score <= 1) {
            m_ejections.store(0, std::memory_order_relaxed);
        }
        recordLatency(elapsed, now);
        return;
    }
    if (attemptResult.origin == failure_origin::Overload
        || attemptResult.origin == failure_origin::Draining) {
        m_fullUntil.store(nanosOf(now + m_settings.overloadedDuration), std::memory_order_relaxed);
    }
    if (attemptResult.origin == failure_origin::Server) {
        recordFault(now);
    }
    // The latency of quick errors is not counted, since it would attract requests to a failing
    // server.
    if (attemptResult.fault == attempt_fault::TimedOut) {
        recordLatency(elapsed, now);
    }
}

void server_health::recordFault(core::monotonic_time now)
{
    const std::uint32_t score
        = m_faultScore.fetch_add(m_settings.faultWeight, std::memory_order_relaxed)
        + m_settings.faultWeight;
    if (score < m_settings.ejectionThreshold || isEjected(now)) {
        return;
    }
    constexpr std::uint32_t maxDoublings = 16;
    const std::uint32_t earlier = m_ejections.fetch_add(1, std::memory_order_relaxed);
    const std::chrono::nanoseconds length = std::min<std::chrono::nanoseconds>(
        m_settings.maxEjection,
        m_settings.firstEjection * (1LL << std::min(earlier, maxDoublings)));
    m_ejectedUntil.store(nanosOf(now + length), std::memory_order_relaxed);
    // One more fault after the ejection ends ejects the server again.
    m_faultScore.store(m_settings.ejectionThreshold - m_settings.faultWeight,
                       std::memory_order_relaxed);
}

void server_health::recordLatency(std::chrono::nanoseconds elapsed, core::monotonic_time now)
{
    // A sample that a concurrent one overwrites has little effect on the mean.
    const std::int64_t mean = latency(now).count();
    const std::int64_t next
        = mean == 0 ? elapsed.count() : mean + (elapsed.count() - mean) / latencySamples;
    m_latencyNanos.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
    m_latencyAt.store(nanosOf(now), std::memory_order_relaxed);
}

void server_health::recordLoad(std::uint32_t reportedLoad, core::monotonic_time now)
{
    m_reportedLoad.store(reportedLoad, std::memory_order_relaxed);
    m_reportedAt.store(nanosOf(now), std::memory_order_relaxed);
}

std::uint32_t server_health::inFlight() const
{
    return m_inFlight.load(std::memory_order_relaxed);
}

std::uint32_t server_health::estimatedLoad(core::monotonic_time now) const
{
    const std::uint32_t ownInFlight = inFlight();
    const std::int64_t reportedAt = m_reportedAt.load(std::memory_order_relaxed);
    if (reportedAt == never || nanosOf(now) - reportedAt > m_settings.loadFreshness.count()) {
        return ownInFlight;
    }
    return std::max(ownInFlight, m_reportedLoad.load(std::memory_order_relaxed));
}

bool server_health::isEjected(core::monotonic_time now) const
{
    return nanosOf(now) < m_ejectedUntil.load(std::memory_order_relaxed);
}

bool server_health::isFull(core::monotonic_time now) const
{
    return nanosOf(now) < m_fullUntil.load(std::memory_order_relaxed);
}

std::chrono::nanoseconds server_health::latency(core::monotonic_time now) const
{
    const std::int64_t sampledAt = m_latencyAt.load(std::memory_order_relaxed);
    if (sampledAt == never) {
        return std::chrono::nanoseconds(0);
    }
    const std::int64_t age = std::max<std::int64_t>(nanosOf(now) - sampledAt, 0);
    const std::int64_t halvings = std::min(age / m_settings.latencyHalfLife.count(), maxHalvings);
    return std::chrono::nanoseconds(
        std::max<std::int64_t>(m_latencyNanos.load(std::memory_order_relaxed) >> halvings, 1));
}

std::uint32_t server_health::faultScore() const
{
    return m_faultScore.load(std::memory_order_relaxed);
}

core::monotonic_time server_health::slowStartEnd() const
{
    return m_slowStartEnd;
}

} // namespace jackdawweir::request
