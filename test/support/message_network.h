// A simulated network that carries messages between state machines in tests. Losses, duplicates and
// delays are drawn from one random engine; the test cuts links itself. The caller passes the time,
// which is counted from zero.
//
//     message_network<distribution::message> network(engine);
//     network.setFaults({.lossPercent = 20, .duplicatePercent = 20, .maxDelay = 80ms});
//     network.send(from, to, message, now);
//     for (auto &arrived : network.takeArrived(now)) { ... }

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::test {

struct network_faults {
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    std::chrono::milliseconds maxDelay{2};
};

template<typename Message>
class message_network
{
public:
    struct delivery {
        core::endpoint from;
        core::endpoint to;
        Message body;
    };

    explicit message_network(core::random_engine &engine)
        : m_engine(engine)
    {
    }

    void setFaults(network_faults faults)
    {
        m_faults = faults;
    }

    // Assigns an endpoint to an area. Cuts separate whole areas from each other.
    void assignArea(const core::endpoint &address, unsigned area)
    {
        m_areas[address] = area;
    }

    // Cuts messages from one area to another, in that direction only.
    void cut(unsigned from, unsigned to)
    {
        m_cuts.emplace(from, to);
    }

    void healAll()
    {
        m_cuts.clear();
    }

    void send(const core::endpoint &from,
              const core::endpoint &to,
              const Message &body,
              core::monotonic_time now)
    {
        if (from == to) {
            m_queue.emplace(now, delivery{from, to, body});
            return;
        }
        if (m_cuts.count({m_areas[from], m_areas[to]}) != 0 || draw(100) < m_faults.lossPercent) {
            return;
        }
        const unsigned copies = draw(100) < m_faults.duplicatePercent ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            const std::chrono::milliseconds delay(
                1 + draw(static_cast<unsigned>(m_faults.maxDelay.count())));
            m_queue.emplace(now + delay, delivery{from, to, body});
        }
    }

    // Returns the messages that have arrived, each encoded and decoded once by the codec.
    std::vector<delivery> takeArrived(core::monotonic_time now)
    {
        std::vector<delivery> arrived;
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            delivery next = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            next.body = core::valueIn(wire::decode<Message>(wire::encode(next.body), next.from));
            arrived.push_back(std::move(next));
        }
        return arrived;
    }

private:
    unsigned draw(unsigned below)
    {
        return std::uniform_int_distribution<unsigned>(0, below - 1)(m_engine);
    }

    core::random_engine &m_engine;
    network_faults m_faults;
    std::map<core::endpoint, unsigned> m_areas;
    std::set<std::pair<unsigned, unsigned>> m_cuts;
    std::multimap<core::monotonic_time, delivery> m_queue;
};

} // namespace jackdawweir::test
