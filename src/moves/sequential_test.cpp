#include "jackdawweir/moves/sequential_test.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_format.h>

namespace jackdawweir::moves {

namespace {

// Weights that divide the bound of false suspicions among the tests. Errors get more than slowness,
// since they do more harm. The whole service gets as much as all routes together, since most bad
// versions fail everywhere.
constexpr double errorWeight = 0.6;
constexpr double allWeight = 0.4;
constexpr double routeWeight = 0.4;
constexpr double dataCentreWeight = 0.2;

const std::string allScope = "all";
const std::string routePrefix = "route ";
const std::string dataCentrePrefix = "data centre ";

// With at least this many latencies, the histogram of a route in one data centre is used instead of
// the route's histogram in all data centres.
constexpr double minStratumLatencies = 400;
constexpr std::chrono::seconds decayStep{10};

double decayFactor(std::chrono::nanoseconds elapsed, std::chrono::seconds halfLife)
{
    const std::chrono::duration<double> seconds = elapsed;
    return std::exp2(-seconds.count() / std::chrono::duration<double>(halfLife).count());
}

std::pair<double, double> slowCounts(const latency_histogram &latencies, std::size_t slowBucket)
{
    double slow = 0;
    for (std::size_t bucket = slowBucket; bucket < latency_histogram::bucketCount; ++bucket) {
        slow += static_cast<double>(latencies.countIn(bucket));
    }
    return {static_cast<double>(latencies.total()), slow};
}

} // namespace

std::vector<stratum_sample> samplesOf(const std::vector<evidence_cell> &cells,
                                      const core::service_name &service,
                                      const core::version_name &oldVersion,
                                      const core::version_name &newVersion)
{
    std::map<std::pair<core::route_name, core::data_centre_name>, stratum_sample> strata;
    for (const evidence_cell &cell : cells) {
        const evidence_key &key = cell.key;
        const bool isOld = key.version == oldVersion;
        if (key.service != service || (!isOld && key.version != newVersion)) {
            continue;
        }
        stratum_sample &sample = strata[{key.route, key.dataCentre}];
        sample.route = key.route;
        sample.dataCentre = key.dataCentre;
        (isOld ? sample.oldVersion : sample.newVersion).merge(cell.counters);
    }
    std::vector<stratum_sample> samples;
    samples.reserve(strata.size());
    for (auto &[key, sample] : strata) {
        samples.push_back(std::move(sample));
    }
    return samples;
}

version_comparison::version_comparison(comparison_settings settings)
    : m_settings(settings)
{
}

void version_comparison::add(const std::vector<stratum_sample> &samples, core::monotonic_time now)
{
    decayBaselines(now);
    countRequests(samples);
    // The old version's counters of the interval are added first, so that a simultaneous fault of
    // the old version already raises the rate with which the new version is compared.
    for (const stratum_sample &sample : samples) {
        addToBaselines(sample);
    }
    for (const stratum_sample &sample : samples) {
        addToTests(sample);
    }
    for (auto &[key, stream] : m_streams) {
        stream.finishInterval(m_settings);
    }
    if (m_isSharedFaultPresent) {
        endSharedFaultIfOver();
    }
    updateVerdict(now);
}

void version_comparison::decayBaselines(core::monotonic_time now)
{
    if (!m_recentDecayedAt) {
        m_recentDecayedAt = now;
        m_decayedAt = now;
    }
    const double recentFactor = decayFactor(now - *m_recentDecayedAt, m_settings.recentHalfLife);
    m_recentDecayedAt = now;
    m_shed.decay(recentFactor);
    const bool isStep = now - *m_decayedAt >= decayStep;
    const double factor = decayFactor(now - *m_decayedAt, m_settings.baselineHalfLife);
    for (auto &[key, baseline] : m_baselines) {
        baseline.recentFaults.decay(recentFactor);
        baseline.recentSlow.decay(recentFactor);
        if (isStep) {
            baseline.faults.decay(factor);
            baseline.slow.decay(factor);
            baseline.latencyTotal *= factor;
            for (double &count : baseline.latencies) {
                count *= factor;
            }
        }
    }
    if (isStep) {
        m_decayedAt = now;
    }
}

void version_comparison::countRequests(const std::vector<stratum_sample> &samples)
{
    double newRequests = 0;
    for (const stratum_sample &sample : samples) {
        const evidence_counters &oldCounters = sample.oldVersion;
        const evidence_counters &newCounters = sample.newVersion;
        m_oldRequests += oldCounters.comparable();
        newRequests += static_cast<double>(newCounters.comparable());
        m_shed.add(static_cast<double>(oldCounters.requests + newCounters.requests),
                   static_cast<double>(oldCounters.overloadErrors + newCounters.overloadErrors));
    }
    m_newRequests += static_cast<std::uint64_t>(newRequests);
    m_trialLeft = std::max(0.0, m_trialLeft - newRequests);
}

void version_comparison::addToBaselines(const stratum_sample &sample)
{
    const evidence_counters &oldCounters = sample.oldVersion;
    const auto requests = static_cast<double>(oldCounters.comparable());
    const auto faults = static_cast<double>(oldCounters.ownFaults());
    const std::array<stratum_key, 3> levels{
        stratum_key{}, stratum_key{sample.route, {}}, stratum_key{sample.route, sample.dataCentre}};
    for (const stratum_key &level : levels) {
        internal::stratum_baseline &baseline = m_baselines[level];
        baseline.faults.add(requests, faults);
        baseline.recentFaults.add(requests, faults);
        for (std::size_t bucket = 0; bucket < latency_histogram::bucketCount; ++bucket) {
            const auto count = static_cast<double>(oldCounters.latencies.countIn(bucket));
            baseline.latencies[bucket] += count;
            baseline.latencyTotal += count;
        }
    }
}

void version_comparison::addToTests(const stratum_sample &sample)
{
    const internal::stratum_baseline &route = m_baselines[{sample.route, {}}];
    const internal::stratum_baseline &stratum = m_baselines[{sample.route, sample.dataCentre}];
    const internal::stratum_baseline &service = m_baselines[{{}, {}}];
    const internal::expected_rates rates = internal::ratesOf({service.faults, service.recentFaults},
                                                             {route.faults, route.recentFaults},
                                                             {stratum.faults, stratum.recentFaults},
                                                             m_settings.priorRequests,
                                                             0.5 / m_settings.priorRequests);
    const internal::fault_counts counts{static_cast<double>(sample.newVersion.comparable()),
                                        static_cast<double>(sample.newVersion.ownFaults()),
                                        static_cast<double>(sample.oldVersion.comparable()),
                                        static_cast<double>(sample.oldVersion.ownFaults())};
    addToStreams(sample, false, counts, rates);
    addSlowness(sample);
}

void version_comparison::addSlowness(const stratum_sample &sample)
{
    internal::stratum_baseline &route = m_baselines[{sample.route, {}}];
    internal::stratum_baseline &stratum = m_baselines[{sample.route, sample.dataCentre}];
    internal::stratum_baseline &service = m_baselines[{{}, {}}];
    const bool usesStratum = stratum.latencyTotal >= minStratumLatencies;
    const std::optional<std::size_t> slowBucket
        = (usesStratum ? stratum : route).slowBucket(m_settings.slowQuantile);
    if (!slowBucket) {
        return;
    }
    const auto [oldTotal, oldSlow] = slowCounts(sample.oldVersion.latencies, *slowBucket);
    const auto [newTotal, newSlow] = slowCounts(sample.newVersion.latencies, *slowBucket);
    for (internal::stratum_baseline *baseline : {&service, &route, &stratum}) {
        baseline->slow.add(oldTotal, oldSlow);
        baseline->recentSlow.add(oldTotal, oldSlow);
    }
    const bool isOverloaded = m_shed.faults > m_settings.overloadFraction * m_shed.requests;
    if (isOverloaded) {
        return;
    }
    const internal::expected_rates rates = internal::ratesOf({service.slow, service.recentSlow},
                                                             {route.slow, route.recentSlow},
                                                             {stratum.slow, stratum.recentSlow},
                                                             m_settings.priorRequests,
                                                             1 - m_settings.slowQuantile);
    addToStreams(sample, true, {newTotal, newSlow, oldTotal, oldSlow}, rates);
}

void version_comparison::addToStreams(const stratum_sample &sample,
                                      bool isSlowness,
                                      const internal::fault_counts &counts,
                                      const internal::expected_rates &rates)
{
    const auto route = m_streams.try_emplace({routePrefix + sample.route.value, isSlowness});
    const auto dataCentre
        = m_streams.try_emplace({dataCentrePrefix + sample.dataCentre.value, isSlowness});
    if (!isSlowness) {
        m_routeScopes += route.second ? 1 : 0;
        m_dataCentreScopes += dataCentre.second ? 1 : 0;
    }
    route.first->second.add(counts, rates);
    dataCentre.first->second.add(counts, rates);
    m_streams[{allScope, isSlowness}].add(counts, rates);
}

double version_comparison::weightOf(const stream_key &key) const
{
    const double kind = key.isSlowness ? 1 - errorWeight : errorWeight;
    if (key.scope == allScope) {
        return kind * allWeight;
    }
    if (key.scope.starts_with(routePrefix)) {
        return kind * routeWeight / static_cast<double>(m_routeScopes);
    }
    return kind * dataCentreWeight / static_cast<double>(m_dataCentreScopes);
}

void version_comparison::updateVerdict(core::monotonic_time now)
{
    if (m_verdict == comparison_verdict::Bad) {
        return;
    }
    double evidence = 0;
    double highestEvidence = -1;
    const std::pair<const stream_key, internal::test_stream> *leading = nullptr;
    for (const auto &entry : m_streams) {
        const double weighted = weightOf(entry.first) * entry.second.evidence();
        evidence += weighted;
        if (weighted > highestEvidence) {
            highestEvidence = weighted;
            leading = &entry;
        }
    }
    const double bound
        = m_trialLeft > 0 ? m_settings.falseSuspicionInTrial : m_settings.falseSuspicion;
    if (m_verdict == comparison_verdict::Clear && evidence * bound >= 1) {
        m_verdict = comparison_verdict::Suspect;
        m_suspectSince = now;
    }
    if (m_verdict == comparison_verdict::Suspect) {
        updateSuspectVerdict(leading->first, leading->second.leading(), now);
    }
}

void version_comparison::updateSuspectVerdict(const stream_key &key,
                                              const internal::rate_process &process,
                                              core::monotonic_time now)
{
    explain(key, process);
    const double logOdds = logOddsAgainstShared(key.isSlowness);
    const double needed
        = m_lateHolds > 0 ? m_settings.oddsAgainstSharedAgain : m_settings.oddsAgainstShared;
    // The process that led to the verdict must not show the fault in the old version either, since
    // the runs of the routes, from which logOdds is summed, may have begun later.
    const bool isOldVersionHealthy
        = internal::logOddsAgainstShared(process) >= std::log(m_settings.oddsAgainstSharedAgain);
    if (logOdds >= std::log(needed) && isOldVersionHealthy) {
        const bool isInTime = now - m_suspectSince <= m_settings.oldResponsesWithin;
        if (isInTime || m_lateHolds > 0) {
            m_verdict = comparison_verdict::Bad;
        } else {
            beginTrial();
        }
    } else if (logOdds <= -std::log(m_settings.oddsForShared)) {
        beginSharedFault();
    }
}

double version_comparison::logOddsAgainstShared(bool isSlowness) const
{
    // A shared fault may affect only some routes, so the old version is compared only on routes
    // where the new version failed.
    double sum = 0;
    for (const auto &[key, stream] : m_streams) {
        const bool isRoute = key.scope.starts_with(routePrefix);
        const internal::rate_process &process = stream.leading();
        if (isRoute && key.isSlowness == isSlowness && process.runTotal().newFaults > 0) {
            sum += internal::logOddsAgainstShared(process);
        }
    }
    return sum;
}

void version_comparison::beginTrial()
{
    m_verdict = comparison_verdict::Clear;
    m_trialLeft = m_settings.trialRequests;
    ++m_lateHolds;
    for (auto &[key, stream] : m_streams) {
        stream.restart();
    }
}

bool version_comparison::isSecondTrial() const
{
    return m_verdict == comparison_verdict::Clear && m_trialLeft > 0;
}

bool version_comparison::needsCloserLook() const
{
    if (m_verdict != comparison_verdict::Clear) {
        return false;
    }
    return m_trialLeft > 0
        || std::any_of(m_streams.begin(), m_streams.end(), [](const auto &entry) {
               return entry.second.needsCloserLook();
           });
}

void version_comparison::beginSharedFault()
{
    m_verdict = comparison_verdict::Clear;
    m_isSharedFaultPresent = true;
    m_trialLeft = 0;
    for (auto &[key, stream] : m_streams) {
        stream.beginSharedFault();
    }
}

void version_comparison::endSharedFaultIfOver()
{
    const internal::stratum_baseline &service = m_baselines[{{}, {}}];
    const auto isOver = [this](const internal::decaying_rate &recent,
                               const internal::decaying_rate &usual,
                               double priorRate) {
        const double rate = usual.estimate(m_settings.priorRequests, priorRate);
        constexpr double oneRequest = 1;
        return recent.estimate(oneRequest, rate) < m_settings.sharedOverFactor * rate;
    };
    if (isOver(service.recentFaults, service.faults, 0.5 / m_settings.priorRequests)
        && isOver(service.recentSlow, service.slow, 1 - m_settings.slowQuantile)) {
        m_isSharedFaultPresent = false;
        for (auto &[key, stream] : m_streams) {
            stream.endSharedFault();
        }
    }
}

bool version_comparison::isSharedFaultPresent() const
{
    return m_isSharedFaultPresent;
}

void version_comparison::explain(const stream_key &key, const internal::rate_process &process)
{
    const internal::fault_counts run = process.runTotal();
    m_explanation = absl::StrFormat("%s, %s: new %.0f of %.0f, old %.0f of %.0f, usual rate %.2f%%",
                                    key.isSlowness ? "slow" : "errors",
                                    key.scope,
                                    run.newFaults,
                                    run.newRequests,
                                    run.oldFaults,
                                    run.oldRequests,
                                    100 * process.rateBefore);
}

comparison_verdict version_comparison::verdict() const
{
    return m_verdict;
}

std::string version_comparison::explanation() const
{
    return m_explanation;
}

std::uint64_t version_comparison::oldRequests() const
{
    return m_oldRequests;
}

std::uint64_t version_comparison::newRequests() const
{
    return m_newRequests;
}

} // namespace jackdawweir::moves
