#include "jackdawweir/forwarding/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace jackdawweir::forwarding {

namespace {

using std::chrono::microseconds;

constexpr double perMille = 1000.0;

microseconds scaled(std::chrono::nanoseconds time, double factor)
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double, std::nano>(static_cast<double>(time.count()) * factor));
}

microseconds weightedMean(microseconds mean, microseconds sample, double weight)
{
    return scaled(mean, 1 - weight) + scaled(sample, weight);
}

request_urgency urgencyOf(const admission_queue_request &request)
{
    return request_urgency{request.workspaceRank, request.rank};
}

} // namespace

admission_queue::admission_queue(const admission_queue_settings &settings)
    : m_settings(settings)
    , m_meanRunTime(settings.initialRunTime)
    , m_shares(settings.shares)
    , m_reserve(settings.reserve)
{
}

void admission_queue::setSlots(std::uint32_t slots)
{
    m_settings.slots = std::max(slots, 1U);
}

void admission_queue::setRate(double perSecond, core::monotonic_time now)
{
    m_limiter.setRate(perSecond, now);
}

bool admission_queue::tryResend(core::monotonic_time now)
{
    return m_limiter.tryTake(now);
}

microseconds admission_queue::limitWait(core::monotonic_time now) const
{
    return m_limiter.waitFor(m_waiting.size() + 1, now);
}

microseconds admission_queue::meanRunTimeOf(const core::route_name &route) const
{
    const auto found = m_runTimes.find(route);
    return found == m_runTimes.end() ? m_settings.initialRunTime : found->second;
}

core::monotonic_time admission_queue::sortKeyOf(const admission_queue_request &request) const
{
    return request.target + m_settings.rankStep * request.rank;
}

bool admission_queue::meetsTarget(const admission_queue_request &request,
                                  core::monotonic_time now) const
{
    return now + scaled(meanRunTimeOf(request.route), m_settings.targetMargin) <= request.target;
}

bool admission_queue::runsBefore(const waiting_request &left,
                                 const waiting_request &right,
                                 core::monotonic_time now) const
{
    if (left.request.isCallOfRun != right.request.isCallOfRun) {
        return left.request.isCallOfRun;
    }
    const bool leftMeets = meetsTarget(left.request, now);
    const bool rightMeets = meetsTarget(right.request, now);
    if (leftMeets != rightMeets) {
        return leftMeets;
    }
    if (!isShared(now)) {
        return sortKeyOf(left.request) < sortKeyOf(right.request);
    }
    return std::tuple(urgencyOf(left.request), left.excess, left.request.target)
        < std::tuple(urgencyOf(right.request), right.excess, right.request.target);
}

bool admission_queue::isShared(core::monotonic_time now) const
{
    return m_lastWorkspaceAt && now - *m_lastWorkspaceAt < m_settings.sharingTime;
}

std::uint32_t admission_queue::slotsFor(const admission_queue_request &request,
                                        core::monotonic_time now) const
{
    if (!isShared(now)) {
        return m_settings.slots;
    }
    const std::uint32_t kept = m_reserve.slotsKeptFrom(
        urgencyOf(request), meanRunTimeOf(request.route), m_settings.slots, now);
    return m_settings.slots - kept;
}

bool admission_queue::hasSlotFor(const admission_queue_request &request,
                                 core::monotonic_time now) const
{
    if (m_running.size() >= m_settings.slots) {
        return false;
    }
    const std::uint32_t slots = slotsFor(request, now);
    if (slots == m_settings.slots) {
        return true;
    }
    const auto held = std::count_if(m_running.begin(), m_running.end(), [&](const auto &each) {
        return each.second.urgency >= urgencyOf(request);
    });
    return held < slots;
}

bool admission_queue::isNext(const waiting_request &arrived, core::monotonic_time now) const
{
    if (!isShared(now)) {
        return m_waiting.empty();
    }
    return std::none_of(m_waiting.begin(), m_waiting.end(), [&](const waiting_request &each) {
        return hasSlotFor(each.request, now) && runsBefore(each, arrived, now);
    });
}

microseconds admission_queue::expectedWait(const waiting_request &arrived,
                                           core::monotonic_time now) const
{
    const bool isSlotFree = hasSlotFor(arrived.request, now);
    microseconds work = isSlotFree ? microseconds(0) : nextSlotWork();
    std::size_t ahead = 0;
    for (const waiting_request &each : m_waiting) {
        if (!runsBefore(arrived, each, now)) {
            work += meanRunTimeOf(each.request.route);
            ++ahead;
        }
    }
    const microseconds slotWait
        = isSlotFree ? microseconds(0) : work / slotsFor(arrived.request, now);
    return std::max(slotWait, m_limiter.waitFor(ahead + 1, now));
}

// Returns the expected time until a slot is free, multiplied by the number of slots. Assumes that
// the running requests end one after another, evenly spread over their mean run time.
microseconds admission_queue::nextSlotWork() const
{
    microseconds sum(0);
    for (const auto &[number, request] : m_running) {
        sum += meanRunTimeOf(request.route);
    }
    return m_running.empty() ? sum : sum / static_cast<std::int64_t>(m_running.size());
}

microseconds admission_queue::expectedStartDelay(core::monotonic_time now) const
{
    microseconds work = nextSlotWork();
    for (const waiting_request &each : m_waiting) {
        work += meanRunTimeOf(each.request.route);
    }
    // With a free slot only the limit delays a request.
    const bool isSlotFree = m_running.size() < m_settings.slots;
    return std::max(isSlotFree ? microseconds(0) : work / m_settings.slots, limitWait(now));
}

bool admission_queue::maySharedRequestWait(const admission_queue_request &arrived,
                                           microseconds wait,
                                           core::monotonic_time now) const
{
    const std::chrono::nanoseconds timeToTarget = arrived.target - now;
    const microseconds end = wait + scaled(meanRunTimeOf(arrived.route), m_settings.targetMargin);
    return wait <= scaled(timeToTarget, m_settings.sharedWaitFraction)
        || end <= scaled(timeToTarget, m_settings.sharedEndFraction);
}

admission_queue_decision admission_queue::arrive(const admission_queue_request &arrived,
                                                 core::monotonic_time now)
{
    waiting_request queued = noteArrival(arrived, now);
    if (hasSlotFor(arrived, now) && isNext(queued, now) && m_limiter.tryTake(now)) {
        m_shares.charge(arrived.workspace, queued.charged, now);
        start(queued);
        return {admission_queue_verdict::Start, microseconds(0)};
    }
    const microseconds wait = expectedWait(queued, now);
    if (arrived.mayUseAnotherServer && !maySharedRequestWait(arrived, wait, now)) {
        return refuse(queued, now);
    }
    const core::monotonic_time start = now + wait;
    const core::monotonic_time end = start + meanRunTimeOf(arrived.route);
    const bool isEarlyEnough = end <= arrived.target
        || end <= now + scaled(arrived.deadline - now, m_settings.lateWaitFraction);
    if (!isEarlyEnough) {
        return refuse(queued, now);
    }
    m_shares.charge(arrived.workspace, queued.charged, now);
    m_waiting.push_back(queued);
    return {admission_queue_verdict::Wait, microseconds(0)};
}

admission_queue::waiting_request
admission_queue::noteArrival(const admission_queue_request &arrived, core::monotonic_time now)
{
    if (!arrived.workspace.name.empty()) {
        m_lastWorkspaceAt = now;
    }
    waiting_request noted{arrived, now};
    if (!isShared(now)) {
        return noted;
    }
    const microseconds runTime = meanRunTimeOf(arrived.route);
    const std::chrono::nanoseconds slack
        = arrived.target - now - scaled(runTime, m_settings.targetMargin);
    m_reserve.noteArrival(
        urgencyOf(arrived),
        runTime,
        std::chrono::duration_cast<microseconds>(std::max(slack, std::chrono::nanoseconds(0))),
        now);
    noted.charged = runTime;
    noted.excess = m_shares.excessOf(arrived.workspace, runTime, now);
    return noted;
}

void admission_queue::start(const waiting_request &started)
{
    m_running.emplace(started.request.number,
                      running_request{started.request.route, urgencyOf(started.request)});
}

admission_queue_decision admission_queue::refuse(const waiting_request &refused,
                                                 core::monotonic_time now)
{
    m_shares.charge(
        refused.request.workspace, scaled(refused.charged, m_settings.refusedWorkFraction), now);
    return {admission_queue_verdict::Refuse, nextReturn(refused, now), refused.excess > 0};
}

void admission_queue::refund(const waiting_request &notRun, core::monotonic_time now)
{
    m_shares.refund(notRun.request.workspace.name, notRun.charged, now);
}

microseconds admission_queue::nextReturn(const waiting_request &refused, core::monotonic_time now)
{
    const microseconds first = expectedStartDelay(now);
    if (!isShared(now) || refused.request.mayUseAnotherServer) {
        return first;
    }
    const core::monotonic_time earliest = now + first * (1 + refused.excess);
    const core::monotonic_time next = m_lastReturnAt + m_meanRunTime / m_settings.slots;
    m_lastReturnAt = next > now + m_settings.returnTime ? earliest : std::max(earliest, next);
    return std::chrono::duration_cast<microseconds>(m_lastReturnAt - now);
}

std::vector<admission_queue_action> admission_queue::startWaiting(core::monotonic_time now)
{
    std::vector<admission_queue_action> actions;
    while (m_running.size() < m_settings.slots) {
        auto first = m_waiting.end();
        for (auto each = m_waiting.begin(); each != m_waiting.end(); ++each) {
            if (hasSlotFor(each->request, now)
                && (first == m_waiting.end() || runsBefore(*each, *first, now))) {
                first = each;
            }
        }
        if (first == m_waiting.end() || !m_limiter.tryTake(now)) {
            break;
        }
        start(*first);
        actions.push_back(admission_queue_action{first->request.number, true, microseconds(0)});
        m_waiting.erase(first);
    }
    return actions;
}

std::vector<admission_queue_action> admission_queue::finish(std::uint64_t number,
                                                            std::chrono::nanoseconds elapsed,
                                                            bool isFailure,
                                                            core::monotonic_time now)
{
    const auto found = m_running.find(number);
    if (found == m_running.end()) {
        return {};
    }
    const auto sample = std::chrono::duration_cast<microseconds>(elapsed);
    if (!isFailure) {
        const auto [runTime, isFirst] = m_runTimes.emplace(found->second.route, sample);
        if (isFirst && m_runTimes.size() == 1) {
            m_meanRunTime = sample;
        }
        runTime->second = weightedMean(runTime->second, sample, m_settings.runTimeWeight);
        m_meanRunTime = weightedMean(m_meanRunTime, sample, m_settings.runTimeWeight);
    }
    noteFailure(isFailure);
    return release(number, now);
}

std::vector<admission_queue_action> admission_queue::reject(std::uint64_t number,
                                                            core::monotonic_time now)
{
    noteFailure(true);
    return release(number, now);
}

void admission_queue::noteFailure(bool isFailure)
{
    m_failureRate = m_failureRate * (1 - m_settings.failureWeight)
        + (isFailure ? m_settings.failureWeight : 0.0);
}

std::vector<admission_queue_action> admission_queue::release(std::uint64_t number,
                                                             core::monotonic_time now)
{
    m_running.erase(number);
    return startWaiting(now);
}

bool admission_queue::remove(std::uint64_t number, core::monotonic_time now)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &each) {
        return each.request.number == number;
    });
    if (found == m_waiting.end()) {
        return false;
    }
    refund(*found, now);
    m_waiting.erase(found);
    return true;
}

std::vector<admission_queue_action> admission_queue::expire(core::monotonic_time now)
{
    std::vector<admission_queue_action> actions;
    for (auto each = m_waiting.begin(); each != m_waiting.end();) {
        const admission_queue_request &request = each->request;
        const core::monotonic_time latest = std::max(
            request.target - meanRunTimeOf(request.route),
            each->arrivedAt
                + scaled(request.deadline - each->arrivedAt, m_settings.longestWaitFraction));
        if (now < latest) {
            ++each;
            continue;
        }
        refund(*each, now);
        actions.push_back(admission_queue_action{
            request.number, false, nextReturn(*each, now), each->excess > 0});
        each = m_waiting.erase(each);
    }
    return actions;
}

std::vector<admission_queue_action> admission_queue::refuseAll()
{
    std::vector<admission_queue_action> actions;
    for (const waiting_request &each : m_waiting) {
        actions.push_back(admission_queue_action{each.request.number, false, microseconds(0)});
    }
    m_waiting.clear();
    return actions;
}

server_load admission_queue::load(const core::route_name &route) const
{
    server_load counted;
    counted.running = static_cast<std::uint32_t>(m_running.size());
    counted.waiting = static_cast<std::uint32_t>(m_waiting.size());
    counted.slots = m_settings.slots;
    counted.meanRunTime = m_meanRunTime;
    const auto found = m_runTimes.find(route);
    counted.routeRunTime = found == m_runTimes.end() ? microseconds(0) : found->second;
    counted.failuresPerMille = static_cast<std::uint32_t>(m_failureRate * perMille);
    return counted;
}

} // namespace jackdawweir::forwarding
