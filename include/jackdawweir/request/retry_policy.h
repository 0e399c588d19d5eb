// Decides whether a request is retried, and how much time each attempt and each hop gets.
//
//     retry_budget budget;
//     budget.recordRequest();
//     if (mayRetry(attempt, budget)) { ... } // Sends the request again.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "jackdawweir/document/model.h"
#include "jackdawweir/request/attempt_outcome.h"

namespace jackdawweir::request {

// The maximum number of attempts of one request, including the first.
constexpr std::uint32_t maxAttempts = 3;
// A hop reserves at least this much of the time it was given for itself.
constexpr std::chrono::milliseconds minHopReserve{2};
// No attempt starts with less time than this.
constexpr std::chrono::milliseconds minAttemptTime{5};

// Limits the retries of a node to one for every ten requests, with a small burst. Safe to use from
// several threads.
class retry_budget
{
public:
    void recordRequest();
    // Takes one retry from the budget; returns false if none is left.
    bool tryTake();

private:
    static constexpr std::int32_t unitsPerRetry = 10;
    // With a larger limit, retries saved up during an hour of low traffic would allow a retry
    // storm.
    static constexpr std::int32_t maxStoredRetries = 20;

    std::atomic<std::int32_t> m_units{unitsPerRetry};
};

struct finished_attempt {
    document::request_kind kind = document::request_kind::NonIdempotent;
    attempt_outcome attemptResult;
    // Attempts made so far, including this one.
    std::uint32_t attempts = 1;
    // The value of attemptLevelHeader on the received request; 0 if it is absent.
    std::uint32_t level = 0;
    std::chrono::nanoseconds remaining{0};
};

// Returns true if another attempt is useful and can't run a non-idempotent request twice,
// regardless of the budget.
bool isSafeToRetry(const finished_attempt &attempt);

// Returns true if the request is to be sent again, and takes that retry from the budget.
bool mayRetry(const finished_attempt &attempt, retry_budget &budget);

// Returns the time that a request has at this node: the smaller of the route's deadline and the
// time for which the caller still waits.
std::chrono::nanoseconds requestTime(const document::route_contract &contract,
                                     std::optional<std::chrono::milliseconds> received);

// Returns the deadline that a node sends to the next hop, or zero if too little time remains for an
// attempt.
std::chrono::milliseconds nextHopTime(std::chrono::nanoseconds remaining);

// Parse the values of deadlineHeader and attemptLevelHeader. Return nothing for a malformed value.
std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text);
std::optional<std::uint32_t> parseAttemptLevel(std::string_view text);

struct hedge_settings {
    bool enabled = false;
    // The delay as a multiple of the mean latency of the service.
    double latencyMultiple = 3.0;
};

// Returns the delay after which a second attempt of an idempotent request starts while the first
// still runs, or nothing if the request is not hedged (docs/measurements/request.md).
std::optional<std::chrono::nanoseconds> hedgeDelay(const hedge_settings &settings,
                                                   const document::route_contract &contract,
                                                   std::uint32_t level,
                                                   std::chrono::nanoseconds meanLatency);

} // namespace jackdawweir::request
