// Constants that the nodes and the sources of a mesh share in keeping quotas.

#pragma once

#include <chrono>

namespace jackdawweir::quota {

struct quota_settings {
    // Requests that a workspace may send above its quota in any window, on all hosts together.
    double margin = 0;
    // The shortest interval of a node's reports, and of the exchange between sources.
    std::chrono::milliseconds reportInterval{100};
    // The longest interval of a node's reports, where many nodes report to one source.
    std::chrono::milliseconds maxReportInterval{400};
    // A source spends this much of its time per report at most, which bounds its processor time.
    std::chrono::microseconds timePerReport{1'000};
    // A peer that is silent for this many intervals is out of touch: a process that has used up its
    // share of a core pauses for a tenth of a second.
    int silentIntervals = 4;
    // The time constant with which a source returns to an exhausted or unused quota. It exceeds
    // twice the delay of reports, exchange and notices, since a faster reaction oscillates.
    std::chrono::milliseconds correctionTime{600};
    // The time constant of the demand that shares of admission are computed from.
    std::chrono::milliseconds demandTime{200};
    // The time constant of the demand that the shares of nodes out of touch are computed from. Long
    // enough that a node of average demand counts several requests of a large workspace.
    std::chrono::milliseconds recentTime{10'000};
    // A host that was not announced as leaving counts as cut off for this long after it was last
    // listed.
    std::chrono::milliseconds rememberHosts{60'000};
};

// Returns what remains after `elapsed` of a quantity that decays with a time constant.
double decayFactor(std::chrono::nanoseconds elapsed, std::chrono::nanoseconds timeConstant);

// Returns a time in seconds.
double inSeconds(std::chrono::nanoseconds time);

} // namespace jackdawweir::quota
