// A seeded model of callers, nodes, admission queues and backend servers. It runs the shipped
// dispatcher and admission queue, or a plain proxy, without a network.
//
//     placement_model model(shape, load, placement::Shipped, seed);
//     const placement_figures figures = model.run();

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "jackdawweir/core/random.h"
#include "jackdawweir/forwarding/admission_queue.h"
#include "jackdawweir/forwarding/dispatcher.h"

namespace jackdawweir::bench {

// How the server of a request is selected and what happens when that server has no free slot.
enum class placement : std::uint8_t {
    Shipped,
    // The shipped code with the rules of the previous version: a request waits at the first server
    // selected, and a caller's retry counts as a new request.
    Previous,
    // The server with the fewest outstanding requests of the node, a FIFO queue, no refusals.
    LeastConnections,
    // Each server in turn, a FIFO queue, no refusals.
    RoundRobin,
};

// The size and load characteristics of one service of a deployment.
struct placement_shape {
    std::string name;
    std::size_t dataCentres = 4;
    std::size_t servers = 34;
    // Nodes without a server of the service, which send requests to it as well.
    std::size_t nodesWithoutServer = 49;
    std::uint32_t slots = 9;
    std::vector<double> speeds{0.5, 1.0, 1.0, 1.5};
    double workMs = 150;
    double workSpread = 0.8;
    std::chrono::milliseconds target{500};
    std::chrono::milliseconds deadline{2'000};
    std::chrono::microseconds intraDataCentreDelay{200};
    std::chrono::microseconds interDataCentreDelay{1'400};
    std::uint32_t retries = 1;
    double lateWorth = 0.1;
};

struct placement_figures {
    double requests = 0;
    double onTime = 0;
    double late = 0;
    double refused = 0;
    double failed = 0;
    // Attempts that were sent to a server in another data centre.
    double crossings = 0;
    double worth = 0;
};

class placement_model
{
public:
    placement_model(const placement_shape &shape, double load, placement kind, std::uint64_t seed);

    placement_figures run();

private:
    using time_point = core::monotonic_time;

    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> function;

        friend bool operator<(const event &left, const event &right)
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    struct held_request {
        std::size_t node = 0;
        forwarding::forward_request forwarded;
        time_point startedAt;
        bool isRunning = false;
    };

    struct server {
        std::size_t host = 0;
        double speed = 1;
        std::unique_ptr<forwarding::admission_queue> admission;
        std::uint64_t lastTicket = 0;
        std::map<std::uint64_t, held_request> requests;
        // Used only for LeastConnections and RoundRobin.
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
    };

    struct caller {
        std::size_t node = 0;
        bool isUrgent = false;
        time_point begunAt;
        std::uint32_t retriesLeft = 0;
    };

    void schedule(time_point when, std::function<void()> function);
    void makeNodes();
    void arrive();
    void tickAll();
    void issueRequest(const caller &requester);
    void issueToPlainProxy(const caller &requester);
    void startAtPlainServer(std::size_t index, const caller &requester);
    void finishAtPlainServer(std::size_t index);
    void answer(const caller &requester, const forwarding::caller_answer &answer);
    void countAnswer(const caller &requester, bool isServed);
    bool send(std::size_t node, const core::endpoint &peer, const forwarding::message &sent);
    void receive(std::size_t index, std::size_t node, const forwarding::forward_request &forwarded);
    void apply(std::size_t index, const std::vector<forwarding::admission_queue_action> &actions);
    void start(std::size_t index, std::uint64_t ticket);
    void finish(std::size_t index, std::uint64_t ticket);
    void reply(std::size_t index, const held_request &held, forwarding::forward_answer answer);
    std::chrono::nanoseconds workTime(const server &running, std::uint32_t busy);
    std::chrono::microseconds delayBetween(std::size_t node, std::size_t host) const;
    std::size_t dataCentreOf(std::size_t node) const;

    placement_shape m_shape;
    double m_load;
    placement m_kind;
    core::random_engine m_engine;
    time_point m_now{std::chrono::seconds(100)};
    time_point m_end;
    std::uint64_t m_lastOrder = 0;
    std::size_t m_nextServer = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<forwarding::dispatcher>> m_nodes;
    std::vector<std::vector<std::uint32_t>> m_outstanding;
    std::vector<server> m_servers;
    placement_figures m_figures;
};

} // namespace jackdawweir::bench
