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
#include <optional>
#include <string>
#include <utility>
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
    double falseSuspicion = 0.001;
    // Change point weight of faults that are there from the first request on, spent once.
    double weightAtStart = 0.5;
    // Change point weight spent on each further request of the new version.
    double weightPerRequest = 1e-4;
    // Odds against a shared fault at which a Suspect version is Bad.
    double oddsAgainstShared = 2000;
    // Odds for a shared fault at which a Suspect version is Clear again.
    double oddsForShared = 10;
    // The old version's rate is estimated as if this many earlier requests had been seen, with half
    // a fault among them.
    double priorRequests = 150;
    // Half-life of the old version's rate and latencies.
    std::chrono::seconds baselineHalfLife{600};
    // Half-life of the old version's recent rate, which follows a shared fault.
    std::chrono::seconds recentHalfLife{30};
    // A Suspect version is Bad only where the old version's answers come within this time: later
    // ones say little about a shared fault, which may have ended. The new version is then tried
    // again, and is Bad when it becomes Suspect once more during the move.
    std::chrono::seconds oldAnswersWithin{20};
    // Requests of a second trial, the bound of a wrong suspicion in it, and the odds against a
    // shared fault that suffice after it.
    double trialRequests = 15;
    double falseSuspicionInTrial = 0.3;
    double oddsAgainstSharedAgain = 20;
    // A fault that the usual rate explains less than this well (logarithm of the likelihood ratio)
    // calls for a closer look, which lasts for this many requests of the new version in the scope
    // of the fault.
    double closerLookExcess = 2.5;
    double closerLookRequests = 16;
    // A shared fault is over when the old version's recent rate is below this factor of its usual
    // one.
    double sharedOverFactor = 3;
    // Slowness is not compared while more than this part of the requests is shed.
    double overloadPart = 0.03;
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

// Requests and faults of both versions in the same time.
struct fault_counts {
    double newRequests = 0;
    double newFaults = 0;
    double oldRequests = 0;
    double oldFaults = 0;

    void add(const fault_counts &other);
};

// Requests and faults, recent ones counted more.
struct decaying_rate {
    double requests = 0;
    double faults = 0;

    void add(double moreRequests, double moreFaults);
    void decay(double factor);
    // Returns the rate as if `priorRequests` at `priorRate` had been seen as well.
    double estimate(double priorRequests, double priorRate) const;
};

// Fault rates of the old version.
struct expected_rates {
    // Over the half-life of the baseline.
    double usual = 0;
    // As usual, or as of late where that is higher.
    double present = 0;
};

// A likelihood ratio process against one assumed fault rate of a bad version.
struct rate_process {
    double value = 0;
    // Logarithm of the likelihood ratio since the present run of faults began.
    double excess = 0;
    // What was seen in that run, cut before each interval with faults of the new version, and the
    // old version's fault rate before it.
    std::vector<fault_counts> run;
    double rateBefore = 0;

    fault_counts runTotal() const;
};

// One sequential test: one scope (all, a route or a data centre) and one kind of fault.
class test_stream
{
public:
    // Fault rates of a bad version that are tested for. They cover a version that fails rarely and
    // one that always fails; rates between two of them lose little power.
    static constexpr std::array<double, 4> assumedRates{0.08, 0.25, 0.6, 0.95};

    // Adds one stratum of the present interval; `rates` are of the old version there.
    void add(const fault_counts &counts, const expected_rates &rates);
    void finishInterval(const comparison_settings &settings);

    // Returns the mean of the processes.
    double evidence() const;
    // Returns the process with the most evidence.
    const rate_process &leading() const;
    // Starts anew with the change point weight of a first request.
    void restart();
    // Returns true while a fault that the usual rate explains badly is not long ago.
    bool needsCloserLook() const;
    // Starts anew after a fault proved to be shared. Until endShared() the rate of both versions
    // together is expected of the new one.
    void beginShared();
    void endShared();

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

// Returns the logarithm of the odds that only the new version has become faulty against a fault
// that both versions share.
double logOddsAgainstShared(const rate_process &process);

// The old version's behaviour on a route, in one data centre or in all.
struct stratum_baseline {
    decaying_rate faults;
    decaying_rate recentFaults;
    decaying_rate slow;
    decaying_rate recentSlow;
    std::array<double, latency_histogram::bucketCount> latencies{};
    double latencyTotal = 0;

    // Returns the first bucket whose responses are slow, or nothing before enough were seen.
    std::optional<std::size_t> slowBucket(double quantile) const;
};

struct rate_level {
    const decaying_rate &usual;
    const decaying_rate &recent;
};

// Returns the rates of a stratum. Each level starts from the rate of the one above it, so that a
// stratum with little traffic is not taken for one without faults.
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

    // Takes in the evidence of one interval.
    void add(const std::vector<stratum_sample> &samples, core::monotonic_time now);

    comparison_verdict verdict() const;

    // Returns true while more requests of the new version would lead to a decision soon: after an
    // unexplained fault, and in a second trial.
    bool needsCloserLook() const;

    // Returns true while the new version is tried again after a late hold.
    bool isSecondTrial() const;

    // Returns true from the time a fault proved to be shared until the old version is well again.
    bool isSharedFaultPresent() const;

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
    void judge(core::monotonic_time now);
    void judgeSuspect(const stream_key &key,
                      const internal::rate_process &process,
                      core::monotonic_time now);
    double logOddsAgainstShared(bool isSlowness) const;
    void beginTrial();
    void beginShared();
    void endSharedWhenOver();
    double weightOf(const stream_key &key) const;
    void explain(const stream_key &key, const internal::rate_process &process);

    comparison_settings m_settings;
    // The baseline of a route in all data centres has an empty data centre name, that of the
    // service two empty names.
    std::map<stratum_key, internal::stratum_baseline> m_baselines;
    std::map<stream_key, internal::test_stream> m_streams;
    // Requests of both versions, and those shed, of late.
    internal::decaying_rate m_shed;
    std::size_t m_routeScopes = 0;
    std::size_t m_dataCentreScopes = 0;
    std::optional<core::monotonic_time> m_recentDecayedAt;
    std::optional<core::monotonic_time> m_decayedAt;
    std::uint64_t m_oldRequests = 0;
    std::uint64_t m_newRequests = 0;
    bool m_isSharedFaultPresent = false;
    double m_trialLeft = 0;
    // Holds so far in which the old version's answers came late.
    int m_lateHolds = 0;
    core::monotonic_time m_suspectSince;
    comparison_verdict m_verdict = comparison_verdict::Clear;
    std::string m_explanation;
};

} // namespace jackdawweir::moves
