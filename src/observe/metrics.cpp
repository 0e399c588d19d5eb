#include "jackdawweir/observe/metrics.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <mutex>
#include <sstream>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jackdawweir::observe {

namespace {

constexpr std::size_t requestKinds = 2;
constexpr std::size_t requestOutcomes = 3;
constexpr std::size_t directions = 2;
// Channel numbers start at 1.
constexpr std::size_t channels = 9;

// Upper bounds of the histogram's buckets in seconds. The target for the added time is 0.32 ms at
// the 99th percentile (p99).
const std::vector<double> addedTimeBounds{0.00002,
                                          0.00005,
                                          0.0001,
                                          0.0002,
                                          0.00032,
                                          0.0005,
                                          0.001,
                                          0.002,
                                          0.005,
                                          0.01,
                                          0.1};
// Upper bounds of the histogram's buckets in seconds. The target for all nodes is 16 s.
const std::vector<double> convergenceBounds{0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};

const char *nameOf(wire::channel purpose)
{
    switch (purpose) {
    case wire::channel::Agreement:
        return "agreement";
    case wire::channel::Distribution:
        return "distribution";
    case wire::channel::Membership:
        return "membership";
    case wire::channel::Moves:
        return "moves";
    case wire::channel::Ledger:
        return "ledger";
    case wire::channel::Control:
        return "control";
    case wire::channel::Fleet:
        return "fleet";
    case wire::channel::Forwarding:
        return "forwarding";
    }
    return "unknown";
}

const char *nameOf(byte_direction direction)
{
    return direction == byte_direction::Sent ? "sent" : "received";
}

double inSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

const char *toString(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::Done:
        return "done";
    case request_outcome::NotRun:
        return "not-run";
    case request_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

struct metrics::state {
    state();

    void flushAddedTimes();

    prometheus::Registry registry;
    prometheus::Family<prometheus::Gauge> &moves;
    std::array<std::array<prometheus::Counter *, requestOutcomes>, requestKinds> requests{};
    std::array<std::array<prometheus::Counter *, directions>, channels> bytes{};
    prometheus::Gauge &epoch;
    prometheus::Gauge &number;
    prometheus::Histogram &convergence;
    prometheus::Histogram &addedTime;
    // The histogram of prometheus-cpp locks a mutex, so requests are counted in these atomics and
    // toText transfers the counts to the histogram.
    std::array<std::atomic<std::uint64_t>, 12> addedTimeCounts{};
    std::atomic<std::int64_t> addedTimeSum{0};
    std::mutex textMutex;
};

metrics::state::state()
    : moves(prometheus::BuildGauge()
                .Name("jackdawweir_moves")
                .Help("Moves by phase.")
                .Register(registry))
    , epoch(prometheus::BuildGauge()
                .Name("jackdawweir_version_epoch")
                .Help("Epoch of the configuration version in force.")
                .Register(registry)
                .Add({}))
    , number(prometheus::BuildGauge()
                 .Name("jackdawweir_version_number")
                 .Help("Number of the configuration version in force.")
                 .Register(registry)
                 .Add({}))
    , convergence(prometheus::BuildHistogram()
                      .Name("jackdawweir_convergence_seconds")
                      .Help("Time from the receipt of a version until it was in force here.")
                      .Register(registry)
                      .Add({}, convergenceBounds))
    , addedTime(prometheus::BuildHistogram()
                    .Name("jackdawweir_added_time_seconds")
                    .Help("Time that this node added to a request.")
                    .Register(registry)
                    .Add({}, addedTimeBounds))
{
    auto &requestFamily = prometheus::BuildCounter()
                              .Name("jackdawweir_requests_total")
                              .Help("Requests by kind and outcome.")
                              .Register(registry);
    for (std::size_t kind = 0; kind < requestKinds; ++kind) {
        for (std::size_t outcome = 0; outcome < requestOutcomes; ++outcome) {
            requests[kind][outcome] = &requestFamily.Add(
                {{"kind", document::toString(static_cast<document::request_kind>(kind))},
                 {"outcome", toString(static_cast<request_outcome>(outcome))}});
        }
    }
    auto &byteFamily = prometheus::BuildCounter()
                           .Name("jackdawweir_control_bytes_total")
                           .Help("Bytes of the mesh port by purpose and direction.")
                           .Register(registry);
    for (std::size_t purpose = 1; purpose < channels; ++purpose) {
        for (std::size_t direction = 0; direction < directions; ++direction) {
            bytes[purpose][direction]
                = &byteFamily.Add({{"purpose", nameOf(static_cast<wire::channel>(purpose))},
                                   {"direction", nameOf(static_cast<byte_direction>(direction))}});
        }
    }
}

void metrics::state::flushAddedTimes()
{
    std::vector<double> increments;
    for (std::atomic<std::uint64_t> &count : addedTimeCounts) {
        increments.push_back(static_cast<double>(count.exchange(0)));
    }
    const std::chrono::nanoseconds sum(addedTimeSum.exchange(0));
    addedTime.ObserveMultiple(increments, inSeconds(sum));
}

metrics::metrics()
    : m_state(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::countRequest(document::request_kind kind, request_outcome outcome)
{
    m_state->requests.at(static_cast<std::size_t>(kind))
        .at(static_cast<std::size_t>(outcome))
        ->Increment();
}

void metrics::observeAddedTime(std::chrono::nanoseconds added)
{
    const double seconds = inSeconds(added);
    std::size_t bucket = 0;
    while (bucket < addedTimeBounds.size() && seconds > addedTimeBounds[bucket]) {
        ++bucket;
    }
    m_state->addedTimeCounts.at(bucket).fetch_add(1, std::memory_order_relaxed);
    m_state->addedTimeSum.fetch_add(added.count(), std::memory_order_relaxed);
}

void metrics::setVersionInForce(const core::config_version &version)
{
    m_state->epoch.Set(static_cast<double>(version.epoch));
    m_state->number.Set(static_cast<double>(version.number));
}

void metrics::observeConvergence(std::chrono::milliseconds elapsed)
{
    m_state->convergence.Observe(inSeconds(elapsed));
}

void metrics::addControlBytes(wire::channel purpose, byte_direction direction, std::uint64_t bytes)
{
    m_state->bytes.at(static_cast<std::size_t>(purpose))
        .at(static_cast<std::size_t>(direction))
        ->Increment(static_cast<double>(bytes));
}

void metrics::setMoves(document::move_phase phase, std::uint64_t count)
{
    m_state->moves.Add({{"phase", document::toString(phase)}}).Set(static_cast<double>(count));
}

std::string metrics::toText()
{
    const std::lock_guard guard(m_state->textMutex);
    m_state->flushAddedTimes();
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_state->registry.Collect());
    return text.str();
}

} // namespace jackdawweir::observe
