// Decides which requests run at one backend server, which wait and which are refused. The node
// beside the server is the only way to it, so the counts are exact.
//
//     admission_queue own(settings);
//     switch (own.arrive(request, now).verdict) { ... }
//     for (const admission_queue_action &next : own.finish(number, elapsed, failed, now)) { ... }
//
// Answers the load of more requests than the server has slots for: requests that can still be
// answered within their target run first, the earliest target first; a request that can't be
// answered in time is refused when it arrives, with the time at which a slot is expected, and so is
// one that would wait although another server can take it.

#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/forwarding/messages.h"

namespace jackdawweir::forwarding {

struct admission_queue_settings {
    std::uint32_t slots = 1;
    // Assumed for a route until its first request has ended.
    std::chrono::microseconds firstPace{20'000};
    // The weight of one more request in the mean time of its route.
    double paceWeight = 0.1;
    // The weight of one more request in the failure rate.
    double failureWeight = 0.05;
    // Each rank below the most urgent counts as a target that is this much later.
    std::chrono::milliseconds rankStep{60};
    // A request counts as able to meet its target while this multiple of its mean time is left:
    // times vary, and one that starts with just the mean left is late as often as not.
    double targetMargin = 1.2;
    // A request that can't meet its target waits while its expected end is within this part of its
    // time, behind all that can.
    double lateWaitPart = 0.45;
    // A waiting request that has used this part of its time is refused: its caller can still go
    // elsewhere or come back.
    double longestWaitPart = 0.4;
    // A request that another server can take waits at most this part of the time to its target.
    double sharedWaitPart = 0.1;
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
    bool mayGoElsewhere = false;
};

struct admission_queue_decision {
    admission_queue_verdict verdict = admission_queue_verdict::Refuse;
    // Refuse: when a slot is expected to be free.
    std::chrono::microseconds retryAfter{0};
};

// A waiting request that starts or is refused now.
struct admission_queue_action {
    std::uint64_t number = 0;
    bool starts = false;
    std::chrono::microseconds retryAfter{0};
};

class admission_queue
{
public:
    explicit admission_queue(const admission_queue_settings &settings);

    void setSlots(std::uint32_t slots);

    admission_queue_decision arrive(const admission_queue_request &arrived,
                                    core::monotonic_time now);

    // A running request ended after `elapsed`; a failure is one of the server.
    std::vector<admission_queue_action> finish(std::uint64_t number,
                                               std::chrono::nanoseconds elapsed,
                                               bool isFailure,
                                               core::monotonic_time now);

    // A running request ended without telling anything of the server.
    std::vector<admission_queue_action> release(std::uint64_t number, core::monotonic_time now);

    // The server rejected a request although it had a free slot.
    std::vector<admission_queue_action> reject(std::uint64_t number, core::monotonic_time now);

    // Removes a waiting request. Returns false where it is not waiting.
    bool remove(std::uint64_t number);

    // Refuses the waiting requests that have waited too long.
    std::vector<admission_queue_action> expire(core::monotonic_time now);

    // Refuses every waiting request.
    std::vector<admission_queue_action> refuseAll();

    server_load load() const;

private:
    struct waiting_request {
        admission_queue_request request;
        core::monotonic_time arrivedAt;
    };

    std::chrono::microseconds paceOf(const core::route_name &route) const;
    core::monotonic_time orderOf(const admission_queue_request &request) const;
    bool meetsTarget(const admission_queue_request &request, core::monotonic_time now) const;
    // Returns true where `left` runs before `right`.
    bool goesBefore(const admission_queue_request &left,
                    const admission_queue_request &right,
                    core::monotonic_time now) const;
    std::chrono::microseconds expectedWait(const admission_queue_request &arrived,
                                           core::monotonic_time now) const;
    std::chrono::microseconds nextSlotWork() const;
    std::chrono::microseconds roomExpected() const;
    void noteFailure(bool isFailure);
    std::vector<admission_queue_action> startWaiting(core::monotonic_time now);

    admission_queue_settings m_settings;
    std::map<core::route_name, std::chrono::microseconds> m_paces;
    std::chrono::microseconds m_meanPace;
    double m_failureRate = 0;
    std::map<std::uint64_t, core::route_name> m_running;
    std::list<waiting_request> m_waiting;
};

} // namespace jackdawweir::forwarding
