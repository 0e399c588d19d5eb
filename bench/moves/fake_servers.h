// Simulates the traffic and the backend servers of one service with an old and a new version.
//
//     fake_servers servers(setup, engine);
//     const fake_response response = servers.answer(call, isNew, share, seconds);

#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>

#include "bench/moves/scenario.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/moves/evidence.h"

namespace jackdawweir::bench {

struct fake_call {
    std::size_t route = 0;
    std::size_t dataCentre = 0;
    std::size_t node = 0;
};

struct fake_response {
    moves::observation seen;
    // The response was affected by the fault of the bad version.
    bool isFaulty = false;
    // The version was bad when it received the call.
    bool wasBad = false;
};

class fake_servers
{
public:
    fake_servers(const move_setup &setup, core::random_engine &engine)
        : m_setup(setup)
        , m_engine(engine)
    {
    }

    fake_call nextCall()
    {
        const double point = uniform(m_engine, 0, 1);
        double sum = 0;
        fake_call call;
        for (std::size_t route = 0; route < routeCount; ++route) {
            call.route = route;
            sum += routeTraffic[route];
            if (point < sum) {
                break;
            }
        }
        call.dataCentre = pick(dataCentreCount);
        call.node = pick(nodesPerDataCentre);
        return call;
    }

    // The rate of calls per second as a multiple of the usual rate.
    double loadFactor(double seconds) const
    {
        return m_setup.kind == scenario::Overload && isActive(seconds) ? 3.0 : 1.0;
    }

    fake_response answer(const fake_call &call, bool isNew, double newShare, double seconds)
    {
        fake_response response;
        double latency = routeMedian[call.route] * std::exp(0.5 * m_normal(m_engine));
        latency *= isNew ? m_setup.newLatencyFactor : 1.0;
        if (happens(m_setup.baselineErrorRate)) {
            response.seen.origin = moves::fault_origin::Server;
        }
        if (m_setup.isBad && isNew) {
            addFault(call, newShare, seconds, latency, response);
        } else if (!m_setup.isBad && isActive(seconds)) {
            addEnvironmentFault(isNew, latency, response);
        }
        if (isNew) {
            addColdStart(call, latency, response);
        }
        constexpr double deadlineSeconds = 2.0;
        if (latency >= deadlineSeconds) {
            latency = deadlineSeconds;
            response.seen.origin = moves::fault_origin::Server;
        }
        response.seen.latency = std::chrono::nanoseconds(static_cast<std::int64_t>(latency * 1e9));
        return response;
    }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_engine);
    }

    bool happens(double probability)
    {
        return uniform(m_engine, 0, 1) < probability;
    }

    bool isActive(double seconds) const
    {
        return seconds >= m_setup.faultStart && seconds < m_setup.faultEnd;
    }

    void addFault(const fake_call &call,
                  double newShare,
                  double seconds,
                  double &latency,
                  fake_response &response)
    {
        if (!isActive(seconds) || newShare < m_setup.minFaultyShare) {
            return;
        }
        response.wasBad = true;
        if (m_setup.route != routeCount && m_setup.route != call.route) {
            return;
        }
        latency *= m_setup.slowFactor;
        response.isFaulty = m_setup.slowFactor > 1;
        if (happens(m_setup.faultRate)) {
            response.isFaulty = true;
            response.seen.origin
                = happens(0.5) ? moves::fault_origin::Server : moves::fault_origin::Defect;
        }
    }

    void addEnvironmentFault(bool isNew, double &latency, fake_response &response)
    {
        switch (m_setup.kind) {
        case scenario::SharedFault:
        case scenario::SharedBlip:
            if (happens(m_setup.faultRate)) {
                response.seen.origin = moves::fault_origin::Server;
            }
            return;
        case scenario::DownstreamCause:
            if ((isNew || !m_setup.downstreamOfNewOnly) && happens(m_setup.faultRate)) {
                response.seen.origin = moves::fault_origin::Downstream;
            }
            return;
        case scenario::Overload:
            latency *= m_setup.slowFactor;
            // The servers of the new version shed more load, since there are fewer of them during a
            // move.
            if (happens(m_setup.faultRate * (isNew ? 1.5 : 1.0))) {
                response.seen.origin = moves::fault_origin::Overload;
            }
            return;
        default:
            return;
        }
    }

    void addColdStart(const fake_call &call, double &latency, fake_response &response)
    {
        constexpr std::uint32_t coldRequests = 20;
        std::uint32_t &served = m_served[call.dataCentre][pick(serversPerDataCentre)];
        if (m_setup.kind != scenario::ColdStart || served++ >= coldRequests) {
            return;
        }
        constexpr double coldLatencyFactor = 8;
        constexpr double coldErrors = 0.2;
        latency *= coldLatencyFactor;
        response.seen.isColdServer = true;
        if (happens(coldErrors)) {
            response.seen.origin = moves::fault_origin::ColdStart;
        }
    }

    const move_setup &m_setup;
    core::random_engine &m_engine;
    std::normal_distribution<double> m_normal;
    std::array<std::array<std::uint32_t, serversPerDataCentre>, dataCentreCount> m_served{};
};

} // namespace jackdawweir::bench
