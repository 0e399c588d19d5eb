#include "jackdawweir/forwarding/downstream_admission.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace jackdawweir::forwarding {

namespace {

using std::chrono::milliseconds;

constexpr double perMille = 1000.0;

double halvings(std::chrono::nanoseconds elapsed, milliseconds halfLife)
{
    return std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(halfLife);
}

double weightedMean(double mean, double sample, double weight)
{
    return mean * (1 - weight) + sample * weight;
}

} // namespace

downstream_admission::downstream_admission(const downstream_admission_settings &settings)
    : m_settings(settings)
{
}

double downstream_admission::refusedShareAt(const called_service &called,
                                            core::monotonic_time now) const
{
    return called.refusedShare
        * std::exp2(-halvings(now - called.statedAt, m_settings.statementHalfLife));
}

void downstream_admission::record(const core::route_name &route,
                                  const std::vector<downstream_load> &stated,
                                  core::monotonic_time now)
{
    const auto known = m_callsPerRun.find(route);
    if (known != m_callsPerRun.end()) {
        // A service that is not stated is no longer called.
        for (auto &[service, calls] : known->second) {
            calls *= 1 - m_settings.statementWeight;
        }
    }
    for (const downstream_load &each : stated) {
        const double calls = each.callsPerMilleRuns / perMille;
        const auto [average, isFirst] = m_callsPerRun[route].emplace(each.service, calls);
        if (!isFirst) {
            average->second += calls * m_settings.statementWeight;
        }
        const auto [found, isNew] = m_services.try_emplace(each.service);
        called_service &called = found->second;
        if (isNew) {
            called.adjustedAt = now;
            called.demandAt = now;
        }
        called.refusedShare = weightedMean(refusedShareAt(called, now),
                                           each.refusedPerMille / perMille,
                                           m_settings.statementWeight);
        called.statedAt = now;
    }
}

void downstream_admission::adjust(called_service &called, core::monotonic_time now) const
{
    const double intervals = std::chrono::duration<double>(now - called.adjustedAt)
        / std::chrono::duration<double>(m_settings.adjustInterval);
    if (intervals < 1) {
        return;
    }
    called.adjustedAt = now;
    const double excess = refusedShareAt(called, now) - m_settings.toleratedRefusals;
    if (excess > 0) {
        const double factor = 1 - m_settings.decrease * std::min(excess, 1.0);
        called.admittedShare *= std::pow(factor, intervals);
    } else {
        called.admittedShare += m_settings.increase * intervals;
    }
    called.admittedShare = std::clamp(called.admittedShare, m_settings.minShare, 1.0);
}

void downstream_admission::countDemand(called_service &called,
                                       std::uint32_t rank,
                                       double calls,
                                       core::monotonic_time now) const
{
    const double factor = std::exp2(-halvings(now - called.demandAt, m_settings.demandHalfLife));
    for (auto &[each, demand] : called.demand) {
        demand *= factor;
    }
    called.demandAt = now;
    called.demand[rank] += calls;
}

double downstream_admission::shareOfRank(const called_service &called, std::uint32_t rank) const
{
    double total = 0;
    double moreUrgent = 0;
    for (const auto &[each, demand] : called.demand) {
        total += demand;
        moreUrgent += each < rank ? demand : 0.0;
    }
    const double left = called.admittedShare * total - moreUrgent;
    return std::clamp(left / called.demand.at(rank), m_settings.minShare, 1.0);
}

milliseconds downstream_admission::retryAfter(double admittedShare) const
{
    const double refusedShare = 1 - admittedShare;
    const auto range
        = static_cast<double>((m_settings.maxRetryAfter - m_settings.minRetryAfter).count());
    return m_settings.minRetryAfter + milliseconds(std::lround(range * refusedShare));
}

downstream_decision downstream_admission::decide(const downstream_request &request,
                                                 core::monotonic_time now,
                                                 core::random_engine &engine)
{
    downstream_decision decision;
    const auto known = m_callsPerRun.find(request.route);
    if (known == m_callsPerRun.end()) {
        return decision;
    }
    double share = 1;
    for (const auto &[service, calls] : known->second) {
        if (calls < m_settings.minCallsPerRun) {
            continue;
        }
        called_service &called = m_services.at(service);
        adjust(called, now);
        countDemand(called, request.rank, calls, now);
        const double ofRank = shareOfRank(called, request.rank);
        if (ofRank < share) {
            share = ofRank;
            decision.service = service;
        }
    }
    if (share >= 1) {
        return decision;
    }
    decision.retryAfter = retryAfter(share);
    // A caller that returns earlier than any refused caller was asked to gains nothing by it.
    const bool isEarly
        = request.priorWait > milliseconds(0) && request.priorWait < m_settings.minRetryAfter / 2;
    std::uniform_real_distribution<double> draw(0, 1);
    decision.isAdmitted = !isEarly && draw(engine) < share;
    return decision;
}

bool downstream_admission::isShort(const core::route_name &route, core::monotonic_time now) const
{
    const auto known = m_callsPerRun.find(route);
    if (known == m_callsPerRun.end()) {
        return false;
    }
    return std::any_of(known->second.begin(), known->second.end(), [&](const auto &each) {
        return each.second >= m_settings.minCallsPerRun
            && refusedShareAt(m_services.at(each.first), now) > m_settings.toleratedRefusals;
    });
}

double downstream_admission::leastShare() const
{
    double least = 1;
    for (const auto &[service, called] : m_services) {
        least = std::min(least, called.admittedShare);
    }
    return least;
}

} // namespace jackdawweir::forwarding
