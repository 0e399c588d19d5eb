#include "jackdawweir/moves/sequential_test.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawweir::moves::internal {

namespace {

// The weight, in requests, of the service's rate as the prior of a route's rate, and of a route's
// rate as the prior of a stratum's. With 50, routes on which the old version had no fault by chance
// made a good new version suspect.
constexpr double levelPriorRequests = 300;
// The weight, in requests, of the usual rate as the prior of the recent rate.
constexpr double recentPriorRequests = 10;
// The index of the assumed rate (0.25) whose process determines whether a fault is unexplained.
constexpr std::size_t closerLookRate = 1;
// Half-life of the rate expected during a shared fault, in requests of both versions.
constexpr double sharedHalfLifeRequests = 60;
// Upper bound of a process, which keeps the sum of processes finite. It is far above any threshold.
constexpr double largestEvidence = 1e200;
// Bounds of the expected rate. At a rate of zero or one a single response would decide.
constexpr double smallestRate = 1e-4;
constexpr double largestRate = 0.9;

// Bounds the memory of a run. Beyond this number, the two oldest parts are merged.
constexpr std::size_t maxRunParts = 64;

double logBeta(double first, double second)
{
    return std::lgamma(first) + std::lgamma(second) - std::lgamma(first + second);
}

// Returns the logarithm of the likelihood of the faults for an unknown rate with a uniform prior.
double logLikelihoodOfUnknownRate(double requests, double faults)
{
    return logBeta(faults + 1, requests - faults + 1);
}

double logLikelihoodOfRate(double requests, double faults, double rate)
{
    return faults * std::log(rate) + (requests - faults) * std::log(1 - rate);
}

void extendRun(rate_process &process, const fault_counts &interval, double usualRate)
{
    if (process.excess == 0) {
        process.run.clear();
        process.rateBefore = usualRate;
    }
    if (process.run.empty() || interval.newFaults > 0) {
        process.run.push_back(interval);
    } else {
        process.run.back().add(interval);
    }
    if (process.run.size() > maxRunParts) {
        process.run[1].add(process.run[0]);
        process.run.erase(process.run.begin());
    }
}

} // namespace

void fault_counts::add(const fault_counts &other)
{
    newRequests += other.newRequests;
    newFaults += other.newFaults;
    oldRequests += other.oldRequests;
    oldFaults += other.oldFaults;
}

void test_stream::add(const fault_counts &counts, const expected_rates &rates)
{
    const double shared = m_isShared ? m_shared.estimate(recentPriorRequests, rates.usual) : 0;
    const double expected = std::clamp(std::max(rates.current, shared), smallestRate, largestRate);
    m_interval.add(counts);
    m_usualFaults += rates.usual * (counts.newRequests + counts.oldRequests);
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
        extendRun(process, m_interval, m_usualFaults / requests);
        process.excess = std::max(0.0, process.excess + m_logRatios[index]);
    }
    m_logRatios.fill(0);
    if (m_isShared) {
        m_shared.decay(std::exp2(-requests / sharedHalfLifeRequests));
        m_shared.add(requests, m_interval.newFaults + m_interval.oldFaults);
    }
    m_closerLookLeft = std::max(0.0, m_closerLookLeft - m_interval.newRequests);
    const bool isUnexplained = m_processes[closerLookRate].excess >= settings.closerLookExcess;
    if (m_interval.newFaults > 0 && isUnexplained) {
        m_closerLookLeft = settings.closerLookRequests;
    }
    m_interval = fault_counts{};
    m_usualFaults = 0;
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
                             [](const rate_process &first, const rate_process &second) {
                                 return first.value < second.value;
                             });
}

void test_stream::restart()
{
    m_processes.fill(rate_process{});
    m_hasStarted = false;
}

bool test_stream::needsCloserLook() const
{
    return m_closerLookLeft > 0;
}

void test_stream::beginSharedFault()
{
    const fault_counts total = leading().runTotal();
    m_isShared = true;
    m_shared = {total.newRequests + total.oldRequests, total.newFaults + total.oldFaults};
    m_processes.fill(rate_process{});
    m_closerLookLeft = 0;
}

void test_stream::endSharedFault()
{
    m_isShared = false;
}

fault_counts rate_process::runTotal() const
{
    fault_counts total;
    for (const fault_counts &part : run) {
        total.add(part);
    }
    return total;
}

double logOddsAgainstShared(const rate_process &process)
{
    const double usual = std::clamp(process.rateBefore, smallestRate, largestRate);
    const fault_counts total = process.runTotal();
    const double onlyNew = logLikelihoodOfUnknownRate(total.newRequests, total.newFaults)
        + logLikelihoodOfRate(total.oldRequests, total.oldFaults, usual);
    double shared = std::numeric_limits<double>::lowest();
    double beforeOnset = 0;
    fault_counts remaining = total;
    for (const fault_counts &part : process.run) {
        const double fromOnset
            = logLikelihoodOfUnknownRate(remaining.newRequests + remaining.oldRequests,
                                         remaining.newFaults + remaining.oldFaults);
        shared = std::max(shared, beforeOnset + fromOnset);
        beforeOnset += logLikelihoodOfRate(
            part.newRequests + part.oldRequests, part.newFaults + part.oldFaults, usual);
        remaining.newRequests -= part.newRequests;
        remaining.newFaults -= part.newFaults;
        remaining.oldRequests -= part.oldRequests;
        remaining.oldFaults -= part.oldFaults;
    }
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

expected_rates ratesOf(const rate_level &service,
                       const rate_level &route,
                       const rate_level &stratum,
                       double priorRequests,
                       double priorRate)
{
    const double serviceRate = service.usual.estimate(priorRequests, priorRate);
    const double routeRate = route.usual.estimate(levelPriorRequests, serviceRate);
    // The usual rate of a stratum is at least that of the service. Without this bound, a stratum in
    // which the old version had no fault by chance made a good new version suspect.
    const double usual
        = std::max(serviceRate, stratum.usual.estimate(levelPriorRequests, routeRate));
    const double current = std::max({usual,
                                     stratum.recent.estimate(recentPriorRequests, usual),
                                     route.recent.estimate(recentPriorRequests, routeRate)});
    return {usual, current};
}

std::optional<std::size_t> stratum_baseline::slowBucket(double quantile) const
{
    constexpr double minTotal = 30;
    if (latencyTotal < minTotal) {
        return std::nullopt;
    }
    double above = latencyTotal;
    for (std::size_t bucket = 0; bucket < latencies.size(); ++bucket) {
        above -= latencies[bucket];
        if (above <= (1 - quantile) * latencyTotal) {
            // Skips one further bucket, so that a version slower by less than a bucket is not slow.
            return bucket + 2;
        }
    }
    return std::nullopt;
}

} // namespace jackdawweir::moves::internal
