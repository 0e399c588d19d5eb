#include "jackdawweir/forwarding/admission_queue.h"

#include <algorithm>

namespace jackdawweir::forwarding {

namespace {

using std::chrono::microseconds;

constexpr double perMille = 1000.0;

microseconds part(std::chrono::nanoseconds whole, double share)
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double, std::nano>(static_cast<double>(whole.count()) * share));
}

microseconds blend(microseconds mean, microseconds sample, double weight)
{
    return part(mean, 1 - weight) + part(sample, weight);
}

} // namespace

admission_queue::admission_queue(const admission_queue_settings &settings)
    : m_settings(settings)
    , m_meanPace(settings.firstPace)
{
}

void admission_queue::setSlots(std::uint32_t slots)
{
    m_settings.slots = std::max(slots, 1U);
}

microseconds admission_queue::paceOf(const core::route_name &route) const
{
    const auto found = m_paces.find(route);
    return found == m_paces.end() ? m_settings.firstPace : found->second;
}

core::monotonic_time admission_queue::orderOf(const admission_queue_request &request) const
{
    return request.target + m_settings.rankStep * request.rank;
}

bool admission_queue::meetsTarget(const admission_queue_request &request,
                                  core::monotonic_time now) const
{
    return now + part(paceOf(request.route), m_settings.targetMargin) <= request.target;
}

bool admission_queue::goesBefore(const admission_queue_request &left,
                                 const admission_queue_request &right,
                                 core::monotonic_time now) const
{
    const bool leftMeets = meetsTarget(left, now);
    const bool rightMeets = meetsTarget(right, now);
    return leftMeets != rightMeets ? leftMeets : orderOf(left) < orderOf(right);
}

microseconds admission_queue::expectedWait(const admission_queue_request &arrived,
                                           core::monotonic_time now) const
{
    if (m_running.size() < m_settings.slots) {
        return microseconds(0);
    }
    microseconds work = nextSlotWork();
    for (const waiting_request &each : m_waiting) {
        if (!goesBefore(arrived, each.request, now)) {
            work += paceOf(each.request.route);
        }
    }
    return work / m_settings.slots;
}

// Returns the work after which one slot is free, times the number of slots: the slots end one after
// the other, evenly spread over the mean time of what runs.
microseconds admission_queue::nextSlotWork() const
{
    microseconds sum(0);
    for (const auto &[number, route] : m_running) {
        sum += paceOf(route);
    }
    return m_running.empty() ? sum : sum / static_cast<std::int64_t>(m_running.size());
}

microseconds admission_queue::roomExpected() const
{
    microseconds work = nextSlotWork();
    for (const waiting_request &each : m_waiting) {
        work += paceOf(each.request.route);
    }
    return work / m_settings.slots;
}

admission_queue_decision admission_queue::arrive(const admission_queue_request &arrived,
                                                 core::monotonic_time now)
{
    if (m_running.size() < m_settings.slots && m_waiting.empty()) {
        m_running.emplace(arrived.number, arrived.route);
        return {admission_queue_verdict::Start, microseconds(0)};
    }
    const microseconds wait = expectedWait(arrived, now);
    if (arrived.mayGoElsewhere && wait > part(arrived.target - now, m_settings.sharedWaitPart)) {
        return {admission_queue_verdict::Refuse, roomExpected()};
    }
    const core::monotonic_time start = now + wait;
    const core::monotonic_time end = start + paceOf(arrived.route);
    const bool isEarlyEnough = end <= arrived.target
        || end <= now + part(arrived.deadline - now, m_settings.lateWaitPart);
    if (!isEarlyEnough) {
        return {admission_queue_verdict::Refuse, roomExpected()};
    }
    m_waiting.push_back(waiting_request{arrived, now});
    return {admission_queue_verdict::Wait, microseconds(0)};
}

std::vector<admission_queue_action> admission_queue::startWaiting(core::monotonic_time now)
{
    std::vector<admission_queue_action> actions;
    while (m_running.size() < m_settings.slots && !m_waiting.empty()) {
        const auto first = std::min_element(
            m_waiting.begin(), m_waiting.end(), [&](const auto &left, const auto &right) {
                return goesBefore(left.request, right.request, now);
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
        const auto [pace, isFirst] = m_paces.emplace(found->second, sample);
        if (isFirst && m_paces.size() == 1) {
            m_meanPace = sample;
        }
        pace->second = blend(pace->second, sample, m_settings.paceWeight);
        m_meanPace = blend(m_meanPace, sample, m_settings.paceWeight);
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
            request.target - paceOf(request.route),
            each->arrivedAt + part(request.deadline - each->arrivedAt, m_settings.longestWaitPart));
        if (now < latest) {
            ++each;
            continue;
        }
        actions.push_back(admission_queue_action{request.number, false, roomExpected()});
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

server_load admission_queue::load() const
{
    server_load counted;
    counted.running = static_cast<std::uint32_t>(m_running.size());
    counted.waiting = static_cast<std::uint32_t>(m_waiting.size());
    counted.slots = m_settings.slots;
    counted.meanRunTime = m_meanPace;
    counted.failuresPerMille = static_cast<std::uint32_t>(m_failureRate * perMille);
    return counted;
}

} // namespace jackdawweir::forwarding
