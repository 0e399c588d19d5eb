// Compares the new version with the old one at the same time, data centre and route. The result is
// valid at every interim look.
//
//     version_comparison comparison(comparison_settings{});
//     comparison.add(strata, now);                        // once for each evidence interval
//     if (comparison.verdict() == comparison_verdict::Bad) { ... }
//
// Two questions are asked one after the other. (1) Does the new version fail more often than the
// old one's rate explains? This is a mixture of likelihood ratio processes over strata, fault
// rates and change points; under the null hypothesis its expectation never exceeds the change
// point weight spent, so it passes 1/alpha with a probability of at most alpha. (2) If so, has the
// old version failed in the same way since then? The answer tells a bad version from a fault that
// both versions share. Between the two the version is Suspect: it gets no traffic, and the old
// version answers the second question at no further cost.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/moves/evidence.h"

namespace jackdawweir::moves {

enum class comparison_verdict : std::uint8_t {
    Clear, // Nothing speaks against the new version.
    Suspect, // It fails more often than expected; the old version may do so as well.
    Bad, // It fails and the old version does not.
};

struct comparison_settings {
    // Bound of the probability that a good version becomes Suspect, for each unit of change point
    // weight.
    double falseSuspicion = 0.002;
    // Change point weight of faults that are there from the first request on, spent once.
    double weightAtStart = 0.3;
    // Change point weight spent on each further request of the new version.
    double weightPerRequest = 2e-4;
    // Odds against a shared fault at which a Suspect version is Bad.
    double oddsAgainstShared = 1000;
    // Odds for a shared fault at which a Suspect version is Clear again.
    double oddsForShared = 10;
    // The old version's rate is estimated as if this many earlier requests had been seen, with half
    // a fault among them.
    double priorRequests = 150;
    // Half-life of the old version's rate and latencies.
    std::chrono::seconds baselineHalfLife{600};
    // Half-life of the old version's recent rate, which follows a shared fault.
    std::chrono::seconds recentHalfLife{30};
    // Responses above this quantile of the old version's latency, by at least one histogram step
    // more, are slow.
    double slowQuantile = 0.99;
};

// What was seen of both versions at the same time in one stratum.
struct stratum_sample {
    core::route_name route;
    core::data_centre_name dataCentre;
    evidence_counters oldVersion;
    evidence_counters newVersion;
};

// Returns the samples of one service in `cells` for a pair of versions.
std::vector<stratum_sample> samplesOf(const std::vector<evidence_cell> &cells,
                                      const core::service_name &service,
                                      const core::version_name &oldVersion,
                                      const core::version_name &newVersion);

namespace internal {

// Requests and faults of both versions since the present run of faults began.
struct fault_run {
    double newRequests = 0;
    double newFaults = 0;
    double oldRequests = 0;
    double oldFaults = 0;
};

// One sequential test: one scope (all, a route or a data centre) and one kind of fault.
class test_stream
{
public:
    static constexpr std::size_t rateCount = 4;

    void
    add(double newRequests, double newFaults, double oldRequests, double oldFaults, double rate);
    void finishInterval(const comparison_settings &settings, bool isFirst);

    double evidence() const;
    const fault_run &run() const;
    // Returns the logarithm of the odds against a fault shared by both versions.
    double logOddsAgainstShared() const;
    void reset();

private:
    std::array<double, rateCount> m_processes{};
    std::array<double, rateCount> m_logRatios{};
    double m_intervalRequests = 0;
    double m_excess = 0;
    double m_rate = 0;
    fault_run m_run;
    fault_run m_interval;
};

// The old version's fault rate and latencies in one stratum.
struct stratum_baseline {
    double requests = 0;
    double faults = 0;
    double recentRequests = 0;
    double recentFaults = 0;
    double slowRequests = 0;
    double slowFaults = 0;
    double recentSlowRequests = 0;
    double recentSlowFaults = 0;
    std::array<double, latency_histogram::bucketCount> latencies{};
    double latencyTotal = 0;
};

} // namespace internal

class version_comparison
{
public:
    explicit version_comparison(comparison_settings settings);

    // Takes in the evidence of one interval.
    void add(const std::vector<stratum_sample> &samples, core::monotonic_time now);

    comparison_verdict verdict() const;

    // Returns which comparison led to the verdict with its figures, in one line for operators.
    std::string explanation() const;

    // Requests seen that say something about the version itself.
    std::uint64_t oldRequests() const;
    std::uint64_t newRequests() const;

private:
    struct stream_key {
        std::string scope;
        bool isSlowness = false;

        friend auto operator<=>(const stream_key &, const stream_key &) = default;
    };

    struct fault_counts {
        double newRequests = 0;
        double newFaults = 0;
        double oldRequests = 0;
        double oldFaults = 0;
    };

    void decay(core::monotonic_time now);
    void addSample(const stratum_sample &sample);
    void addToStreams(const stratum_sample &sample,
                      bool isSlowness,
                      const fault_counts &counts,
                      double rate);
    void evaluate();
    double weightOf(const stream_key &key) const;
    double totalEvidence() const;
    void judgeSuspect();
    void resetStreams();

    comparison_settings m_settings;
    std::map<std::pair<core::route_name, core::data_centre_name>, internal::stratum_baseline>
        m_baselines;
    std::map<stream_key, internal::test_stream> m_streams;
    std::map<std::string, std::size_t> m_scopeCounts;
    core::monotonic_time m_lastAdd;
    bool m_hasAdded = false;
    bool m_hasNewRequests = false;
    std::uint64_t m_oldRequests = 0;
    std::uint64_t m_newRequests = 0;
    comparison_verdict m_verdict = comparison_verdict::Clear;
    stream_key m_leading;
    std::string m_explanation;
};

} // namespace jackdawweir::moves
