#include "jackdawweir/moves/sequential_test.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jackdawweir::moves::internal {

namespace {

// Keeps the sum of processes finite; far above any threshold.
constexpr double largestEvidence = 1e200;
// Rates are kept away from zero and one, where a single response would decide.
constexpr double smallestRate = 1e-4;
constexpr double largestRate = 0.9;

double logBeta(double left, double right)
{
    return std::lgamma(left) + std::lgamma(right) - std::lgamma(left + right);
}

} // namespace

void fault_counts::add(const fault_counts &other)
{
    newRequests += other.newRequests;
    newFaults += other.newFaults;
    oldRequests += other.oldRequests;
    oldFaults += other.oldFaults;
}

void test_stream::add(const fault_counts &counts, double expectedRate)
{
    const double expected = std::clamp(expectedRate, smallestRate, largestRate);
    m_interval.add(counts);
    m_expectedFaults += expected * (counts.newRequests + counts.oldRequests);
    const double correct = counts.newRequests - counts.newFaults;
    for (std::size_t index = 0; index < assumedRates.size(); ++index) {
        const double assumed = expected + (1 - expected) * assumedRates[index];
        m_logRatios[index] += counts.newFaults * std::log(assumed / expected)
            + correct * std::log((1 - assumed) / (1 - expected));
    }
}

void test_stream::finishInterval(const comparison_settings &settings)
{
    const double requests = m_interval.newRequests + m_interval.oldRequests;
    if (requests == 0) {
        return;
    }
    double weight = settings.weightPerRequest * m_interval.newRequests;
    if (!m_hasStarted && m_interval.newRequests > 0) {
        m_hasStarted = true;
        weight += settings.weightAtStart;
    }
    for (std::size_t index = 0; index < assumedRates.size(); ++index) {
        rate_process &process = m_processes[index];
        const double ratio = std::exp(m_logRatios[index]);
        process.value = std::min(largestEvidence, (process.value + weight) * ratio);
        if (process.excess == 0) {
            process.run = fault_counts{};
            process.rateBefore = m_expectedFaults / requests;
        }
        process.run.add(m_interval);
        process.excess = std::max(0.0, process.excess + m_logRatios[index]);
    }
    m_logRatios.fill(0);
    m_interval = fault_counts{};
    m_expectedFaults = 0;
}

double test_stream::evidence() const
{
    double sum = 0;
    for (const rate_process &process : m_processes) {
        sum += process.value;
    }
    return sum / static_cast<double>(m_processes.size());
}

const rate_process &test_stream::leading() const
{
    return *std::max_element(m_processes.begin(),
                             m_processes.end(),
                             [](const rate_process &left, const rate_process &right) {
                                 return left.value < right.value;
                             });
}

void test_stream::reset()
{
    m_processes.fill(rate_process{});
    m_logRatios.fill(0);
}

double logOddsAgainstShared(const rate_process &process)
{
    const fault_counts &run = process.run;
    const double newCorrect = run.newRequests - run.newFaults;
    const double oldCorrect = run.oldRequests - run.oldFaults;
    const double usual = std::clamp(process.rateBefore, smallestRate, largestRate);
    // A uniform prior over the rate of a new fault in either case.
    const double onlyNew = logBeta(run.newFaults + 1, newCorrect + 1)
        + run.oldFaults * std::log(usual) + oldCorrect * std::log(1 - usual);
    const double shared = logBeta(run.newFaults + run.oldFaults + 1, newCorrect + oldCorrect + 1);
    return onlyNew - shared;
}

void decaying_rate::add(double moreRequests, double moreFaults)
{
    requests += moreRequests;
    faults += moreFaults;
}

void decaying_rate::decay(double factor)
{
    requests *= factor;
    faults *= factor;
}

double decaying_rate::estimate(double priorRequests, double priorRate) const
{
    return (faults + priorRequests * priorRate) / (requests + priorRequests);
}

std::optional<std::size_t> stratum_baseline::slowBucket(double quantile) const
{
    constexpr double leastTotal = 30;
    if (latencyTotal < leastTotal) {
        return std::nullopt;
    }
    double above = latencyTotal;
    for (std::size_t bucket = 0; bucket < latencies.size(); ++bucket) {
        above -= latencies[bucket];
        if (above <= (1 - quantile) * latencyTotal) {
            // One further step, so that a version slower by less than a step is not slow.
            return bucket + 2;
        }
    }
    return std::nullopt;
}

} // namespace jackdawweir::moves::internal
