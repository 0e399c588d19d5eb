#include "jackdawweir/request/retry_policy.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace jackdawweir::request {

namespace {

// A hop reserves the time it was given divided by this, but at least minHopReserve.
constexpr std::int64_t hopReserveDivisor = 20;

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

void retry_budget::recordRequest()
{
    std::int32_t units = m_units.load(std::memory_order_relaxed);
    constexpr std::int32_t maxUnits = maxStoredRetries * unitsPerRetry;
    while (units < maxUnits
           && !m_units.compare_exchange_weak(units, units + 1, std::memory_order_relaxed)) {
    }
}

bool retry_budget::tryTake()
{
    std::int32_t units = m_units.load(std::memory_order_relaxed);
    while (units >= unitsPerRetry) {
        if (m_units.compare_exchange_weak(
                units, units - unitsPerRetry, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

bool isSafeToRetry(const finished_attempt &attempt)
{
    const bool isOutermost = attempt.level == 0;
    const bool hasTime = attempt.remaining >= minAttemptTime;
    const bool isFailure = attempt.attemptResult.fault != attempt_fault::None;
    if (!isOutermost || !hasTime || !isFailure || attempt.attempts >= maxAttempts
        || attempt.attemptResult.origin == failure_origin::Caller) {
        return false;
    }
    return attempt.attemptResult.outcome == request_outcome::NotRun
        || attempt.kind == document::request_kind::Idempotent;
}

bool mayRetry(const finished_attempt &attempt, retry_budget &budget)
{
    return isSafeToRetry(attempt) && budget.tryTake();
}

std::chrono::nanoseconds requestTime(const document::route_contract &contract,
                                     std::optional<std::chrono::milliseconds> received)
{
    return std::min(contract.deadline, received.value_or(contract.deadline));
}

std::chrono::milliseconds nextHopTime(std::chrono::nanoseconds remaining)
{
    const std::chrono::nanoseconds reserve
        = std::max<std::chrono::nanoseconds>(minHopReserve, remaining / hopReserveDivisor);
    const auto nextTime = std::chrono::floor<std::chrono::milliseconds>(remaining - reserve);
    return nextTime < minAttemptTime ? std::chrono::milliseconds(0) : nextTime;
}

std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text)
{
    // Longer than any route's deadline, and short enough that nanoseconds do not overflow.
    constexpr std::int64_t longestDeadline = std::int64_t{24} * 3600 * 1000;
    const std::optional<std::int64_t> value = parseNumber<std::int64_t>(text);
    if (!value || *value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(*value, longestDeadline));
}

std::optional<std::uint32_t> parseAttemptLevel(std::string_view text)
{
    return parseNumber<std::uint32_t>(text);
}

std::optional<std::chrono::nanoseconds> hedgeDelay(const hedge_settings &settings,
                                                   const document::route_contract &contract,
                                                   std::uint32_t level,
                                                   std::chrono::nanoseconds meanLatency)
{
    const bool isAllowed = settings.enabled && level == 0
        && contract.kind == document::request_kind::Idempotent && meanLatency.count() > 0;
    if (!isAllowed) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(meanLatency
                                                                * settings.latencyMultiple);
}

} // namespace jackdawweir::request
