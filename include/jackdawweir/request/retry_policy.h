// Decides on retries and the time each hop has.
//
//     retry_budget budget;
//     budget.recordRequest();
//     if (mayRetry(attempt, budget)) { ... }

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "jackdawweir/document/model.h"
#include "jackdawweir/request/attempt_outcome.h"

namespace jackdawweir::request {

// At most this many attempts of one request, the first included.
constexpr std::uint32_t maxAttempts = 3;
// A hop keeps at least this much of the time it was given.
constexpr std::chrono::milliseconds minHopReserve{2};
// No attempt starts with less time than this.
constexpr std::chrono::milliseconds minAttemptTime{5};

// Retries a node may make: one for each ten requests, with a small burst. Safe to use from several
// threads.
class retry_budget
{
public:
    void recordRequest();
    // Takes one retry from the budget; false where none is left.
    bool tryTake();

private:
    static constexpr std::int32_t unitsPerRetry = 10;
    // A larger store would let a quiet hour pay for a storm.
    static constexpr std::int32_t maxStoredRetries = 20;

    std::atomic<std::int32_t> m_units{unitsPerRetry};
};

struct finished_attempt {
    document::request_kind kind = document::request_kind::NonIdempotent;
    attempt_outcome ended;
    // Attempts made so far, this one included.
    std::uint32_t attempts = 1;
    // The value of attemptLevelHeader on the received request; 0 where it is absent.
    std::uint32_t level = 0;
    std::chrono::nanoseconds remaining{0};
};

// Returns true where another attempt does no harm, whatever the budget.
bool isSafeToRetry(const finished_attempt &attempt);

// Returns true where the request is to be sent again, and takes that retry from the budget.
bool mayRetry(const finished_attempt &attempt, retry_budget &budget);

// Returns the time for a request at this node: the smaller of the route's deadline and what the
// caller still waits.
std::chrono::nanoseconds requestTime(const document::route_contract &contract,
                                     std::optional<std::chrono::milliseconds> received);

// Returns the time that a node tells the next hop; zero where too little remains to start.
std::chrono::milliseconds nextHopTime(std::chrono::nanoseconds remaining);

// Reads the values of deadlineHeader and attemptLevelHeader. Nothing for a malformed value.
std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text);
std::optional<std::uint32_t> parseAttemptLevel(std::string_view text);

// Returns the delay after which a second attempt of an idempotent request starts while the first
// still runs, or nothing where hedging doesn't pay (docs/measurements/request.md).
struct hedge_settings {
    bool enabled = false;
    // A multiple of the mean latency of the service.
    double latencyMultiple = 3.0;
};

std::optional<std::chrono::nanoseconds> hedgeDelay(const hedge_settings &settings,
                                                   const document::route_contract &contract,
                                                   std::uint32_t level,
                                                   std::chrono::nanoseconds meanLatency);

} // namespace jackdawweir::request
