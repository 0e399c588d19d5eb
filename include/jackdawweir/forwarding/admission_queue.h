// Decides which requests run at one backend server, which wait and which are refused. All requests
// to the server pass through the node beside it, so the counts are exact.
//
//     admission_queue queue(settings);
//     switch (queue.arrive(request, now).verdict) { ... }
//     for (const admission_queue_action &next : queue.finish(number, elapsed, failed, now)) { ... }
//
// Handles overload, when there are more requests than slots. Requests that can still be answered
// within their target run first, the earliest target first. A request that can't be answered in
// time is refused when it arrives, with the time at which a slot is expected to be free, and so is
// one that would wait although another server can take it. Calls that the runs of other servers
// make come first, since the time of these runs is lost if a call is refused.
//
// Where callers belong to workspaces, those that share the server are ordered by the rank of the
// workspace, the rank of the route and the share that the workspace has used, before the target.
// Requests of a low urgency that run for long leave slots to short ones of a higher urgency.
//
// A server may limit the requests per second that it takes. A request then starts once a slot is
// free and the limit permits it, whichever is later.

#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/rate_limiter.h"
#include "jackdawweir/forwarding/slot_reserve.h"
#include "jackdawweir/forwarding/workspace_shares.h"

namespace jackdawweir::forwarding {

struct admission_queue_settings {
    std::uint32_t slots = 1;
    // The run time assumed for a route until its first request has ended.
    std::chrono::microseconds initialRunTime{20'000};
    // The weight of the latest request in the moving average of its route's run time.
    double runTimeWeight = 0.1;
    // The weight of the latest request in the moving average of the failure rate.
    double failureWeight = 0.05;
    // For each rank below the most urgent one a request is ordered as if its target were this much
    // later.
    std::chrono::milliseconds rankStep{60};
    // A request is expected to meet its target while this multiple of its mean run time is left.
    // Run times vary, so a request that starts with just the mean left misses its target about half
    // of the time.
    double targetMargin = 1.2;
    // A request that can't meet its target may wait, behind all that can, if it is expected to end
    // within this fraction of the time to its deadline.
    double lateWaitFraction = 0.45;
    // A waiting request is refused after this fraction of the time to its deadline, so that its
    // caller can still use another server or retry.
    double longestWaitFraction = 0.4;
    // A request that another server can take waits at most this fraction of the time to its target,
    // or longer if it is expected to end within the second fraction. An earlier response has no
    // benefit, while each further server that is asked costs the links and the nodes.
    double sharedWaitFraction = 0.1;
    double sharedEndFraction = 0.6;
    workspace_share_settings shares;
    slot_reserve_settings reserve;
    // Requests are ordered by workspaces until none has arrived with a workspace for this long.
    std::chrono::milliseconds sharingTime{10'000};
    // A refused request counts as this fraction of its run time against the share of its workspace,
    // so that callers which retry at once gain nothing by it.
    double refusedWorkFraction = 0.2;
    // Refused callers return evenly spread over this time.
    std::chrono::milliseconds returnTime{1'000};
};

enum class admission_queue_verdict : std::uint8_t {
    Start,
    Wait,
    Refuse,
};

struct admission_queue_request {
    std::uint64_t number = 0;
    core::route_name route;
    std::uint32_t rank = 0;
    core::monotonic_time deadline;
    core::monotonic_time target;
    bool mayUseAnotherServer = false;
    // A server waits for it while it runs another request.
    bool isCallOfRun = false;
    // The workspace of the caller; without a name if it has none.
    weighted_workspace workspace{};
    std::uint32_t workspaceRank = 0;
};

struct admission_queue_decision {
    admission_queue_verdict verdict = admission_queue_verdict::Refuse;
    // Refuse: the time until the server is expected to take a request.
    std::chrono::microseconds retryAfter{0};
    // Refuse: the workspace has used more than its share of the server.
    bool isOverShare = false;
};

// What to do with a request that has waited: start it or refuse it.
struct admission_queue_action {
    std::uint64_t number = 0;
    bool starts = false;
    std::chrono::microseconds retryAfter{0};
    bool isOverShare = false;
};

class admission_queue
{
public:
    explicit admission_queue(const admission_queue_settings &settings);

    void setSlots(std::uint32_t slots);

    // Sets the requests per second that the server takes; zero for no limit.
    void setRate(double perSecond, core::monotonic_time now);

    admission_queue_decision arrive(const admission_queue_request &arrived,
                                    core::monotonic_time now);

    // Ends a running request after `elapsed`. `isFailure` means that the server failed it.
    std::vector<admission_queue_action> finish(std::uint64_t number,
                                               std::chrono::nanoseconds elapsed,
                                               bool isFailure,
                                               core::monotonic_time now);

    // Ends a running request without counting its run time or its outcome.
    std::vector<admission_queue_action> release(std::uint64_t number, core::monotonic_time now);

    // Ends a running request that the server rejected although it had a free slot.
    std::vector<admission_queue_action> reject(std::uint64_t number, core::monotonic_time now);

    // Counts one more send of a running request. Returns false if the limit does not permit it.
    bool tryResend(core::monotonic_time now);

    // Starts the waiting requests that a slot and the limit permit. Only the limit lets a request
    // wait beside a free slot.
    std::vector<admission_queue_action> startWaiting(core::monotonic_time now);

    // Removes a waiting request. Returns false if it is not waiting.
    bool remove(std::uint64_t number, core::monotonic_time now);

    // Refuses the waiting requests that have waited too long.
    std::vector<admission_queue_action> expire(core::monotonic_time now);

    // Refuses every waiting request.
    std::vector<admission_queue_action> refuseAll();

    // Returns the time until the limit permits a further request; zero without a limit.
    std::chrono::microseconds limitWait(core::monotonic_time now) const;

    // Returns the load, for the answer to a request of the route.
    server_load load(const core::route_name &route) const;

private:
    struct waiting_request {
        admission_queue_request request;
        core::monotonic_time arrivedAt;
        // How far the workspace was above its share when the request arrived; zero within it.
        std::uint32_t excess = 0;
        // The work that its workspace was charged with.
        std::chrono::microseconds charged{0};
    };

    struct running_request {
        core::route_name route;
        request_urgency urgency;
    };

    std::chrono::microseconds meanRunTimeOf(const core::route_name &route) const;
    core::monotonic_time sortKeyOf(const admission_queue_request &request) const;
    bool meetsTarget(const admission_queue_request &request, core::monotonic_time now) const;
    // Returns true if `left` runs before `right`.
    bool runsBefore(const waiting_request &left,
                    const waiting_request &right,
                    core::monotonic_time now) const;
    bool isShared(core::monotonic_time now) const;
    waiting_request noteArrival(const admission_queue_request &arrived, core::monotonic_time now);
    // Returns the number of slots that the request and less urgent ones may hold.
    std::uint32_t slotsFor(const admission_queue_request &request, core::monotonic_time now) const;
    bool hasSlotFor(const admission_queue_request &request, core::monotonic_time now) const;
    // Returns true if no waiting request could use the slot that this one is to take.
    bool isNext(const waiting_request &arrived, core::monotonic_time now) const;
    void start(const waiting_request &started);
    admission_queue_decision refuse(const waiting_request &refused, core::monotonic_time now);
    void refund(const waiting_request &notRun, core::monotonic_time now);
    // Returns the time after which a refused caller should retry, later for each one.
    std::chrono::microseconds nextReturn(const waiting_request &refused, core::monotonic_time now);
    std::chrono::microseconds expectedWait(const waiting_request &arrived,
                                           core::monotonic_time now) const;
    // Returns true if a request that another server can take may wait here for this long.
    bool maySharedRequestWait(const admission_queue_request &arrived,
                              std::chrono::microseconds wait,
                              core::monotonic_time now) const;
    std::chrono::microseconds nextSlotWork() const;
    std::chrono::microseconds expectedStartDelay(core::monotonic_time now) const;
    void noteFailure(bool isFailure);

    admission_queue_settings m_settings;
    std::map<core::route_name, std::chrono::microseconds> m_runTimes;
    std::chrono::microseconds m_meanRunTime;
    double m_failureRate = 0;
    std::map<std::uint64_t, running_request> m_running;
    std::list<waiting_request> m_waiting;
    rate_limiter m_limiter;
    workspace_shares m_shares;
    slot_reserve m_reserve;
    std::optional<core::monotonic_time> m_lastWorkspaceAt;
    core::monotonic_time m_lastReturnAt;
};

} // namespace jackdawweir::forwarding
