// Compares the new version with the old one at the same time, in the same data centre and on the
// same route. The error bounds hold even though the result is read after every interval.
//
//     version_comparison comparison(comparison_settings{});
//     comparison.add(strata, now);                        // once for each evidence interval
//     if (comparison.verdict() == comparison_verdict::Bad) { ... }
//
// The comparison has two stages. (1) Does the new version fail more often than the old version's
// rate explains? The test statistic is a mixture of likelihood ratio processes over strata, fault
// rates and change points. Under the null hypothesis its expectation never exceeds the change point
// weight spent, so for each unit of weight it exceeds 1/alpha with a probability of at most alpha.
// (2) If so, has the old version failed in the same way since then? This distinguishes a bad
// version from a fault that both versions share. Between the two stages the version is Suspect: it
// gets no traffic, so that the second stage, which needs only responses of the old version, exposes
// no further requests.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/moves/evidence.h"

namespace jackdawweir::moves {

enum class comparison_verdict : std::uint8_t {
    Clear, // There is no evidence against the new version.
    Suspect, // The new version fails more often than expected; the old one may do so as well.
    Bad, // The new version fails and the old one does not.
};

struct comparison_settings {
    // The maximum probability that a good version becomes Suspect, for each unit of change point
    // weight.
    double falseSuspicion = 0.001;
    // Change point weight for faults present from the first request on, spent once.
    double weightAtStart = 0.5;
    // Change point weight spent on each further request of the new version.
    double weightPerRequest = 1e-4;
    // Odds against a shared fault at which a Suspect version becomes Bad.
    double oddsAgainstShared = 2000;
    // Odds for a shared fault at which a Suspect version becomes Clear again.
    double oddsForShared = 10;
    // Prior of the old version's fault rate: this many requests with half a fault among them.
    double priorRequests = 150;
    // Half-life of the old version's usual rate and latencies.
    std::chrono::seconds baselineHalfLife{600};
    // Half-life of the old version's recent rate, which follows a shared fault.
    std::chrono::seconds recentHalfLife{30};
    // A Suspect version becomes Bad only if enough responses of the old version arrive within this
    // time. Later ones are little evidence against a shared fault, which may have ended by then.
    // After such a late hold the new version is tried again. If it becomes Suspect once more during
    // the move, late responses suffice to make it Bad.
    std::chrono::seconds oldResponsesWithin{20};
    // Requests of a second trial, the bound of the probability of a false suspicion in it, and the
    // odds against a shared fault that suffice from then on.
    double trialRequests = 15;
    double falseSuspicionInTrial = 0.3;
    double oddsAgainstSharedAgain = 20;
    // A fault starts a closer look if the logarithm of the likelihood ratio against the usual rate
    // is at least this high. The closer look lasts for this many requests of the new version in the
    // scope of the fault.
    double closerLookExcess = 2.5;
    double closerLookRequests = 16;
    // A shared fault has ended when the old version's recent rate is below this multiple of its
    // usual rate.
    double sharedOverFactor = 3;
    // Slowness is not compared while more than this fraction of the requests is shed.
    double overloadFraction = 0.03;
    // Responses that exceed this quantile of the old version's latency by at least one histogram
    // bucket are slow.
    double slowQuantile = 0.99;
};

// The counters of both versions in one stratum over the same time.
struct stratum_sample {
    core::route_name route;
    core::data_centre_name dataCentre;
    evidence_counters oldVersion;
    evidence_counters newVersion;
};

// Returns the samples in `cells` for one service and a pair of its versions.
std::vector<stratum_sample> samplesOf(const std::vector<evidence_cell> &cells,
                                      const core::service_name &service,
                                      const core::version_name &oldVersion,
                                      const core::version_name &newVersion);

namespace internal {

// Requests and faults of both versions over the same time.
struct fault_counts {
    double newRequests = 0;
    double newFaults = 0;
    double oldRequests = 0;
    double oldFaults = 0;

    void add(const fault_counts &other);
};

// Requests and faults, weighted towards recent ones.
struct decaying_rate {
    double requests = 0;
    double faults = 0;

    void add(double moreRequests, double moreFaults);
    void decay(double factor);
    // Returns the rate with a prior of `priorRequests` requests at `priorRate`.
    double estimate(double priorRequests, double priorRate) const;
};

// Fault rates of the old version.
struct expected_rates {
    // Over the half-life of the baseline.
    double usual = 0;
    // The usual or the recent rate, whichever is higher.
    double current = 0;
};

// A likelihood ratio process for one assumed fault rate of a bad version.
struct rate_process {
    double value = 0;
    // Logarithm of the likelihood ratio since the current run of faults began.
    double excess = 0;
    // The counts of that run, with a new part at each interval that has faults of the new version,
    // and the old version's fault rate before the run.
    std::vector<fault_counts> run;
    double rateBefore = 0;

    fault_counts runTotal() const;
};

// One sequential test, for one scope (all, a route or a data centre) and one kind of fault.
class test_stream
{
public:
    // The fault rates of a bad version that the test assumes. They range from a version that fails
    // rarely to one that always fails. For a rate between two of them the test loses little power.
    static constexpr std::array<double, 4> assumedRates{0.08, 0.25, 0.6, 0.95};

    // Adds the counts of one stratum in the current interval. `rates` are those of the old version
    // in this stratum.
    void add(const fault_counts &counts, const expected_rates &rates);
    void finishInterval(const comparison_settings &settings);

    // Returns the mean of the processes' values.
    double evidence() const;
    // Returns the process with the highest value.
    const rate_process &leading() const;
    // Resets the test; the next request spends the change point weight of a first request.
    void restart();
    // Returns true for some requests after a fault that the usual rate hardly explains.
    bool needsCloserLook() const;
    // Resets the test after a fault turned out to be shared. Until endSharedFault(), the expected
    // rate of the new version is at least the rate of both versions together.
    void beginSharedFault();
    void endSharedFault();

private:
    std::array<rate_process, assumedRates.size()> m_processes{};
    std::array<double, assumedRates.size()> m_logRatios{};
    fault_counts m_interval;
    double m_usualFaults = 0;
    double m_closerLookLeft = 0;
    bool m_isShared = false;
    decaying_rate m_shared;
    bool m_hasStarted = false;
};

// Returns the logarithm of the odds that only the new version is faulty, against a fault that both
// versions share.
double logOddsAgainstShared(const rate_process &process);

// The fault rates and latencies of the old version on a route in one data centre, on a route in all
// data centres, or in the whole service.
struct stratum_baseline {
    decaying_rate faults;
    decaying_rate recentFaults;
    decaying_rate slow;
    decaying_rate recentSlow;
    std::array<double, latency_histogram::bucketCount> latencies{};
    double latencyTotal = 0;

    // Returns the first bucket whose responses count as slow, or nothing if there are too few
    // latencies.
    std::optional<std::size_t> slowBucket(double quantile) const;
};

struct rate_level {
    const decaying_rate &usual;
    const decaying_rate &recent;
};

// Returns the rates of a stratum. The rate of each level is the prior of the level below it, so
// that a stratum with little traffic is not mistaken for one without faults.
expected_rates ratesOf(const rate_level &service,
                       const rate_level &route,
                       const rate_level &stratum,
                       double priorRequests,
                       double priorRate);

} // namespace internal

class version_comparison
{
public:
    explicit version_comparison(comparison_settings settings);

    // Adds the evidence of one interval and updates the verdict.
    void add(const std::vector<stratum_sample> &samples, core::monotonic_time now);

    comparison_verdict verdict() const;

    // Returns true while more requests to the new version would lead to a decision soon: after an
    // unexplained fault and in a second trial.
    bool needsCloserLook() const;

    // Returns true while the new version is tried again after a hold in which the old version's
    // responses came too late.
    bool isSecondTrial() const;

    // Returns true from the time at which a fault turned out to be shared until the old version has
    // recovered.
    bool isSharedFaultPresent() const;

    // Returns the comparison that led to the verdict and its figures, as one line for operators.
    std::string explanation() const;

    // Return the number of requests that count in the comparison.
    std::uint64_t oldRequests() const;
    std::uint64_t newRequests() const;

private:
    struct stream_key {
        std::string scope;
        bool isSlowness = false;

        friend auto operator<=>(const stream_key &, const stream_key &) = default;
    };
    using stratum_key = std::pair<core::route_name, core::data_centre_name>;

    void decayBaselines(core::monotonic_time now);
    void addToBaselines(const stratum_sample &sample);
    void addToTests(const stratum_sample &sample);
    void addSlowness(const stratum_sample &sample);
    void addToStreams(const stratum_sample &sample,
                      bool isSlowness,
                      const internal::fault_counts &counts,
                      const internal::expected_rates &rates);
    void countRequests(const std::vector<stratum_sample> &samples);
    void updateVerdict(core::monotonic_time now);
    void updateSuspectVerdict(const stream_key &key,
                              const internal::rate_process &process,
                              core::monotonic_time now);
    double logOddsAgainstShared(bool isSlowness) const;
    void beginTrial();
    void beginSharedFault();
    void endSharedFaultIfOver();
    double weightOf(const stream_key &key) const;
    void explain(const stream_key &key, const internal::rate_process &process);

    comparison_settings m_settings;
    // The key of a route in all data centres has an empty data centre name; both names of the key
    // of the service are empty.
    std::map<stratum_key, internal::stratum_baseline> m_baselines;
    std::map<stream_key, internal::test_stream> m_streams;
    // Recent requests of both versions, with the shed ones as faults.
    internal::decaying_rate m_shed;
    std::size_t m_routeScopes = 0;
    std::size_t m_dataCentreScopes = 0;
    std::optional<core::monotonic_time> m_recentDecayedAt;
    std::optional<core::monotonic_time> m_decayedAt;
    std::uint64_t m_oldRequests = 0;
    std::uint64_t m_newRequests = 0;
    bool m_isSharedFaultPresent = false;
    double m_trialLeft = 0;
    // The number of holds in which the old version's responses came too late.
    int m_lateHolds = 0;
    core::monotonic_time m_suspectSince;
    comparison_verdict m_verdict = comparison_verdict::Clear;
    std::string m_explanation;
};

} // namespace jackdawweir::moves
