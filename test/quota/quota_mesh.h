// A mesh of nodes and sources that keep the quota of one workspace, with delayed messages, cuts,
// losses and restarts, on a clock of its own. It counts the requests that were admitted in every
// window, and the requests that were refused although a single token bucket in front of all nodes
// would have admitted them.
//
//     quota_mesh mesh(setup);
//     mesh.setDemand(evenly(mesh.nodes(), 400));
//     mesh.run(seconds(5));
//     CPPUNIT_ASSERT(mesh.mostInWindow() <= mesh.bound());

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/random.h"
#include "jackdawweir/quota/node_quota.h"
#include "jackdawweir/quota/source_quota.h"

namespace jackdawweir::quota {

struct quota_mesh_setup {
    std::size_t nodes = 92;
    // One source and an equal part of the nodes in each data centre.
    std::size_t dataCentres = 3;
    double requestsPerSecond = 647;
    double burst = 647;
    double margin = 20;
    // The time from the sending to the processing of a message.
    std::chrono::milliseconds messageDelay{8};
    // The part of all messages that is lost.
    double loss = 0;
    std::uint64_t seed = 1;
};

class quota_mesh
{
public:
    static constexpr std::chrono::milliseconds window{5'000};
    static constexpr double overage = 0.1;

    explicit quota_mesh(const quota_mesh_setup &setup)
        : m_setup(setup)
        , m_engine(setup.seed)
        , m_rate(setup.requestsPerSecond)
        , m_demand(setup.nodes, 0)
        , m_cutSides(setup.dataCentres, 0)
    {
        m_settings.margin = setup.margin;
        m_nodes.resize(setup.nodes);
        m_sources.resize(setup.dataCentres);
        for (std::size_t node = 0; node < setup.nodes; ++node) {
            restartNode(node);
        }
        for (std::size_t source = 0; source < setup.dataCentres; ++source) {
            startSource(source);
        }
        m_referenceTokens = setup.burst;
    }

    std::size_t nodes() const
    {
        return m_nodes.size();
    }

    std::size_t dataCentreOf(std::size_t node) const
    {
        return node % m_setup.dataCentres;
    }

    // Sets the requests per second at each node.
    void setDemand(std::vector<double> perNode)
    {
        m_demand = std::move(perNode);
    }

    // Requests of this part are admitted and then do not run.
    void setNotRunPart(double part)
    {
        m_notRunPart = part;
    }

    // Separates the data centres of different sides; equal sides are connected.
    void cut(std::vector<int> sides)
    {
        m_cutSides = std::move(sides);
    }

    void heal()
    {
        m_cutSides.assign(m_setup.dataCentres, 0);
    }

    void stopSource(std::size_t source)
    {
        m_sources[source].reset();
    }

    // Starts a source without any state.
    void startSource(std::size_t source)
    {
        m_sources[source] = std::make_unique<source_quota>(m_settings);
        m_sources[source]->setWorkspaces(workspaces(), m_now);
    }

    void restartNode(std::size_t node)
    {
        m_nodes[node] = std::make_unique<node_quota>(m_settings);
        m_nodes[node]->setWorkspaces(workspaces(), m_now);
        m_nodes[node]->setPlace(node_place{static_cast<std::uint32_t>(m_nodes.size()),
                                           static_cast<std::uint32_t>(node)});
    }

    // Changes the quota at all sources and nodes.
    void setRate(double requestsPerSecond, double burst)
    {
        m_rate = requestsPerSecond;
        m_setup.burst = burst;
        for (const auto &node : m_nodes) {
            node->setWorkspaces(workspaces(), m_now);
        }
        for (const auto &source : m_sources) {
            if (source) {
                source->setWorkspaces(workspaces(), m_now);
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        const core::monotonic_time end = m_now + time;
        while (m_now < end) {
            step();
        }
    }

    // Forgets what was counted, at the beginning of the part of a run that is judged.
    void resetCounts()
    {
        m_admittedPerStep.clear();
        m_offered = 0;
        m_admitted = 0;
        m_refused = 0;
        m_refusedBelowQuota = 0;
    }

    double bound() const
    {
        const double seconds = inSeconds(window);
        return (m_rate * seconds + m_setup.burst) * (1 + overage) + m_setup.margin;
    }

    // Returns the largest number of requests admitted in any window.
    std::int64_t mostInWindow() const
    {
        const auto steps = static_cast<std::size_t>(window / stepTime);
        std::int64_t sum = 0;
        std::int64_t most = 0;
        for (std::size_t index = 0; index < m_admittedPerStep.size(); ++index) {
            sum += m_admittedPerStep[index];
            sum -= index >= steps ? m_admittedPerStep[index - steps] : 0;
            most = std::max(most, sum);
        }
        return most;
    }

    std::int64_t offered() const
    {
        return m_offered;
    }

    std::int64_t admitted() const
    {
        return m_admitted;
    }

    std::int64_t refused() const
    {
        return m_refused;
    }

    std::int64_t refusedBelowQuota() const
    {
        return m_refusedBelowQuota;
    }

private:
    static constexpr std::chrono::milliseconds stepTime{10};

    struct delivery {
        core::monotonic_time at;
        bool isToSource = false;
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<usage_report, quota_notice, usage_exchange> message;
    };

    std::vector<policy::workspace> workspaces() const
    {
        policy::workspace workspace;
        workspace.name = m_name;
        workspace.requestsPerSecond = m_rate;
        workspace.burst = m_setup.burst;
        return {workspace};
    }

    static core::endpoint endpointOf(std::size_t number)
    {
        return core::endpoint{std::to_string(number)};
    }

    bool isConnected(std::size_t one, std::size_t other) const
    {
        return m_cutSides[one] == m_cutSides[other];
    }

    void step()
    {
        m_now += stepTime;
        m_admittedPerStep.push_back(0);
        const double refilled = m_referenceTokens + m_rate * inSeconds(stepTime);
        m_referenceTokens = std::min(refilled, m_setup.burst);
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            offerRequests(node);
        }
        deliver();
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            report(node);
        }
        if (m_now >= m_exchangeAt) {
            m_exchangeAt = m_now + m_settings.reportInterval;
            exchange();
        }
    }

    void offerRequests(std::size_t node)
    {
        if (m_demand[node] <= 0) {
            return;
        }
        std::poisson_distribution<int> draw(m_demand[node] * inSeconds(stepTime));
        const int count = draw(m_engine);
        for (int each = 0; each < count; ++each) {
            offerRequest(*m_nodes[node]);
        }
    }

    void offerRequest(node_quota &node)
    {
        ++m_offered;
        const bool isOwed = m_referenceTokens >= 1;
        m_referenceTokens -= isOwed ? 1 : 0;
        if (node.tryAdmit(m_name, m_now)) {
            ++m_refused;
            m_refusedBelowQuota += isOwed ? 1 : 0;
        } else if (std::bernoulli_distribution(m_notRunPart)(m_engine)) {
            node.release(m_name, m_now);
        } else {
            ++m_admitted;
            ++m_admittedPerStep.back();
        }
    }

    // A node reports to the source of its data centre, or to others in turn while that is silent.
    std::size_t sourceOf(std::size_t node)
    {
        const std::size_t own = dataCentreOf(node);
        if (m_nodes[node]->isInTouch(m_now) && m_sources[own]) {
            return own;
        }
        return m_sources[own] ? own : (own + 1 + m_attempts++ % 2) % m_sources.size();
    }

    void report(std::size_t node)
    {
        if (m_now < m_nodes[node]->nextReportAt()) {
            return;
        }
        const std::size_t source = sourceOf(node);
        const usage_report taken = m_nodes[node]->takeReport(m_now);
        send(dataCentreOf(node), source, delivery{{}, true, node, source, taken});
    }

    void exchange()
    {
        for (std::size_t from = 0; from < m_sources.size(); ++from) {
            if (!m_sources[from]) {
                continue;
            }
            const usage_exchange taken = m_sources[from]->takeExchange(m_now);
            for (std::size_t to = 0; to < m_sources.size(); ++to) {
                if (from == to) {
                    continue;
                }
                const bool isHeard = m_sources[from]->isHeard(endpointOf(to), m_now);
                send(
                    from, to, delivery{{}, true, from, to, isHeard ? taken : withoutUsages(taken)});
            }
        }
    }

    void send(std::size_t fromCentre, std::size_t toCentre, delivery sent)
    {
        if (!isConnected(fromCentre, toCentre)
            || std::bernoulli_distribution(m_setup.loss)(m_engine)) {
            return;
        }
        sent.at = m_now + m_setup.messageDelay;
        m_inFlight.push_back(std::move(sent));
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.front().at <= m_now) {
            const delivery arrived = std::move(m_inFlight.front());
            m_inFlight.pop_front();
            if (!arrived.isToSource) {
                m_nodes[arrived.to]->handle(std::get<quota_notice>(arrived.message), m_now);
            } else if (m_sources[arrived.to]) {
                deliverToSource(arrived);
            }
        }
    }

    void deliverToSource(const delivery &arrived)
    {
        source_quota &source = *m_sources[arrived.to];
        if (const auto *exchanged = std::get_if<usage_exchange>(&arrived.message)) {
            source.handle(endpointOf(arrived.from), *exchanged, m_now);
            return;
        }
        const auto &reported = std::get<usage_report>(arrived.message);
        const core::endpoint node{"node " + std::to_string(arrived.from)};
        if (const auto notice = source.handle(node, reported, m_now)) {
            send(arrived.to,
                 dataCentreOf(arrived.from),
                 delivery{{}, false, arrived.to, arrived.from, *notice});
        }
    }

    quota_mesh_setup m_setup;
    quota_settings m_settings;
    core::random_engine m_engine;
    policy::workspace_name m_name{"bakery"};
    core::monotonic_time m_now{std::chrono::seconds(100)};
    core::monotonic_time m_exchangeAt;
    double m_rate = 0;
    double m_notRunPart = 0;
    std::vector<double> m_demand;
    std::vector<int> m_cutSides;
    std::size_t m_attempts = 0;
    std::vector<std::unique_ptr<node_quota>> m_nodes;
    std::vector<std::unique_ptr<source_quota>> m_sources;
    std::deque<delivery> m_inFlight;
    std::vector<std::int64_t> m_admittedPerStep;
    double m_referenceTokens = 0;
    std::int64_t m_offered = 0;
    std::int64_t m_admitted = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_refusedBelowQuota = 0;
};

// Returns a demand of so many requests per second in total, the same at each node.
inline std::vector<double> evenly(std::size_t nodes, double total)
{
    return std::vector<double>(nodes, total / static_cast<double>(nodes));
}

} // namespace jackdawweir::quota
