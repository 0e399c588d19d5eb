#include "jackdawweir/forwarding/admission_queue.h"

#include <algorithm>

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

} // namespace

admission_queue::admission_queue(const admission_queue_settings &settings)
    : m_settings(settings)
    , m_meanRunTime(settings.initialRunTime)
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

bool admission_queue::runsBefore(const admission_queue_request &left,
                                 const admission_queue_request &right,
                                 core::monotonic_time now) const
{
    if (left.isCallOfRun != right.isCallOfRun) {
        return left.isCallOfRun;
    }
    const bool leftMeets = meetsTarget(left, now);
    const bool rightMeets = meetsTarget(right, now);
    return leftMeets != rightMeets ? leftMeets : sortKeyOf(left) < sortKeyOf(right);
}

microseconds admission_queue::expectedWait(const admission_queue_request &arrived,
                                           core::monotonic_time now) const
{
    const bool isSlotFree = m_running.size() < m_settings.slots;
    microseconds work = isSlotFree ? microseconds(0) : nextSlotWork();
    std::size_t ahead = 0;
    for (const waiting_request &each : m_waiting) {
        if (!runsBefore(arrived, each.request, now)) {
            work += meanRunTimeOf(each.request.route);
            ++ahead;
        }
    }
    const microseconds slotWait = isSlotFree ? microseconds(0) : work / m_settings.slots;
    return std::max(slotWait, m_limiter.waitFor(ahead + 1, now));
}

// Returns the expected time until a slot is free, multiplied by the number of slots. Assumes that
// the running requests end one after another, evenly spread over their mean run time.
microseconds admission_queue::nextSlotWork() const
{
    microseconds sum(0);
    for (const auto &[number, route] : m_running) {
        sum += meanRunTimeOf(route);
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
    if (m_running.size() < m_settings.slots && m_waiting.empty() && m_limiter.tryTake(now)) {
        m_running.emplace(arrived.number, arrived.route);
        return {admission_queue_verdict::Start, microseconds(0)};
    }
    const microseconds wait = expectedWait(arrived, now);
    if (arrived.mayUseAnotherServer && !maySharedRequestWait(arrived, wait, now)) {
        return {admission_queue_verdict::Refuse, expectedStartDelay(now)};
    }
    const core::monotonic_time start = now + wait;
    const core::monotonic_time end = start + meanRunTimeOf(arrived.route);
    const bool isEarlyEnough = end <= arrived.target
        || end <= now + scaled(arrived.deadline - now, m_settings.lateWaitFraction);
    if (!isEarlyEnough) {
        return {admission_queue_verdict::Refuse, expectedStartDelay(now)};
    }
    m_waiting.push_back(waiting_request{arrived, now});
    return {admission_queue_verdict::Wait, microseconds(0)};
}

std::vector<admission_queue_action> admission_queue::startWaiting(core::monotonic_time now)
{
    std::vector<admission_queue_action> actions;
    while (m_running.size() < m_settings.slots && !m_waiting.empty() && m_limiter.tryTake(now)) {
        const auto first = std::min_element(
            m_waiting.begin(), m_waiting.end(), [&](const auto &left, const auto &right) {
                return runsBefore(left.request, right.request, now);
            });
        m_running.emplace(first->request.number, first->request.route);
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
        const auto [runTime, isFirst] = m_runTimes.emplace(found->second, sample);
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

bool admission_queue::remove(std::uint64_t number)
{
    return std::erase_if(m_waiting,
                         [number](const auto &each) { return each.request.number == number; })
        > 0;
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
        actions.push_back(admission_queue_action{request.number, false, expectedStartDelay(now)});
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
