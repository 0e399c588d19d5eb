// The event handlers of placement_model.

#pragma once

#include <algorithm>
#include <cmath>
#include <utility>

#include "bench/placement_model.h"

namespace jackdawweir::bench {

namespace placement_times {

constexpr std::chrono::seconds arrivals{6};
constexpr std::chrono::seconds settling{4};
constexpr std::chrono::milliseconds tick{20};
constexpr double urgentShare = 0.2;
// The fraction by which a request takes longer on a fully used server than on an idle one.
constexpr double fullLoadSlowdown = 0.4;

} // namespace placement_times

inline placement_model::placement_model(const placement_shape &shape,
                                        double load,
                                        placement kind,
                                        std::uint64_t seed)
    : m_shape(shape)
    , m_load(load)
    , m_kind(kind)
    , m_engine(seed)
    , m_end(m_now + placement_times::arrivals)
{
    m_servers.resize(shape.servers);
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        m_servers[index].host = index;
        m_servers[index].speed = shape.speeds[index / shape.dataCentres % shape.speeds.size()];
        forwarding::admission_queue_settings settings;
        settings.slots = shape.slots;
        if (kind == placement::Previous) {
            settings.lateWaitFraction = 0.6;
            settings.longestWaitFraction = 0.5;
            settings.sharedWaitFraction = 1000;
        }
        m_servers[index].admission = std::make_unique<forwarding::admission_queue>(settings);
    }
    makeNodes();
}

inline std::size_t placement_model::dataCentreOf(std::size_t node) const
{
    return node % m_shape.dataCentres;
}

inline std::chrono::microseconds placement_model::delayBetween(std::size_t node,
                                                               std::size_t host) const
{
    return dataCentreOf(node) == dataCentreOf(host) ? m_shape.intraDataCentreDelay
                                                    : m_shape.interDataCentreDelay;
}

inline void placement_model::schedule(time_point when, std::function<void()> function)
{
    m_events.push(event{when, ++m_lastOrder, std::move(function)});
}

inline void placement_model::makeNodes()
{
    std::vector<fleet::host_record> hosts;
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        fleet::host_record host;
        host.host.value = std::to_string(index);
        host.dataCentre.value = std::to_string(dataCentreOf(index));
        host.endpoint.value = std::to_string(index);
        fleet::server_record record;
        record.instance.value = std::to_string(index);
        record.service.value = "stock";
        record.slots = m_shape.slots;
        host.servers = {record};
        hosts.push_back(host);
    }
    policy::policy_view view;
    view.revision = 1;
    view.policy.number = 1;
    for (const bool isUrgent : {false, true}) {
        policy::route route;
        route.name.value = isUrgent ? "urgent" : "usual";
        route.host = "shop.example";
        route.pathPrefix = isUrgent ? "/urgent/" : "/usual/";
        route.kind
            = isUrgent ? document::request_kind::NonIdempotent : document::request_kind::Idempotent;
        route.parts = {{core::service_name{"stock"}, 1}};
        route.timeout = m_shape.deadline;
        route.targetLatency = m_shape.target;
        route.maxAttempts = 2;
        route.rank = isUrgent ? 0 : 2;
        view.policy.routes.push_back(route);
    }
    for (std::size_t node = 0; node < m_servers.size() + m_shape.nodesWithoutServer; ++node) {
        forwarding::dispatcher_settings settings;
        settings.loadBalancing.ownHost.value = std::to_string(node);
        settings.loadBalancing.ownDataCentre.value = std::to_string(dataCentreOf(node));
        forwarding::dispatcher_hooks hooks{
            [this, node](const core::endpoint &peer, const forwarding::message &sent) {
                return send(node, peer, sent);
            },
            [](const core::endpoint &) {},
            [](const core::endpoint &, forwarding::reachability_change) {
            }};
        m_nodes.push_back(std::make_unique<forwarding::dispatcher>(
            settings, std::move(hooks), core::random_engine(m_engine())));
        m_nodes.back()->setView(view);
        m_nodes.back()->setHosts(hosts, m_now);
        m_outstanding.emplace_back(m_servers.size(), 0);
    }
}

inline placement_figures placement_model::run()
{
    arrive();
    tickAll();
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.function();
    }
    m_figures.worth = (m_figures.onTime + m_shape.lateWorth * m_figures.late) / m_figures.requests;
    return m_figures;
}

inline void placement_model::arrive()
{
    double speedSum = 0;
    for (const server &each : m_servers) {
        speedSum += each.speed;
    }
    const double perSecond = m_load * speedSum * m_shape.slots * 1000 / m_shape.workMs;
    std::exponential_distribution<double> gap(perSecond);
    const time_point next = m_now
        + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                std::chrono::duration<double>(gap(m_engine)));
    if (next >= m_end) {
        return;
    }
    schedule(next, [this] {
        std::uniform_int_distribution<std::size_t> drawNode(0, m_nodes.size() - 1);
        std::uniform_real_distribution<double> draw(0, 1);
        ++m_figures.requests;
        issueRequest(caller{drawNode(m_engine),
                            draw(m_engine) < placement_times::urgentShare,
                            m_now,
                            m_shape.retries});
        arrive();
    });
}

inline void placement_model::tickAll()
{
    for (const auto &node : m_nodes) {
        node->tick(m_now);
    }
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        apply(index, m_servers[index].admission->expire(m_now));
    }
    if (m_now < m_end + placement_times::settling) {
        schedule(m_now + placement_times::tick, [this] { tickAll(); });
    }
}

inline void placement_model::issueRequest(const caller &requester)
{
    const std::chrono::nanoseconds left = requester.begunAt + m_shape.deadline - m_now;
    if (left <= std::chrono::nanoseconds(0)) {
        ++m_figures.failed;
        return;
    }
    if (m_kind == placement::LeastConnections || m_kind == placement::RoundRobin) {
        issueToPlainProxy(requester);
        return;
    }
    forwarding::caller_request request;
    request.message.target = requester.isUrgent ? "/urgent/1" : "/usual/1";
    request.message.headers = {{"Host", "shop.example"}};
    request.remaining = m_kind == placement::Previous
        ? m_shape.deadline
        : std::chrono::duration_cast<std::chrono::milliseconds>(left);
    m_nodes[requester.node]->begin(
        std::move(request),
        [this, requester](const forwarding::caller_answer &answered) {
            answer(requester, answered);
        },
        m_now);
}

inline void placement_model::answer(const caller &requester,
                                    const forwarding::caller_answer &answered)
{
    if (answered.outcome == forwarding::caller_outcome::Answered) {
        countAnswer(requester, true);
    } else if (answered.outcome == forwarding::caller_outcome::NotRun
               && requester.retriesLeft > 0) {
        caller again = requester;
        --again.retriesLeft;
        schedule(m_now + answered.retryAfter, [this, again] { issueRequest(again); });
    } else if (answered.outcome == forwarding::caller_outcome::NotRun) {
        ++m_figures.refused;
    } else {
        ++m_figures.failed;
    }
}

inline void placement_model::countAnswer(const caller &requester, bool isServed)
{
    const std::chrono::nanoseconds elapsed = m_now - requester.begunAt;
    if (!isServed || elapsed > m_shape.deadline) {
        ++m_figures.failed;
    } else if (elapsed <= m_shape.target) {
        ++m_figures.onTime;
    } else {
        ++m_figures.late;
    }
}

inline bool
placement_model::send(std::size_t node, const core::endpoint &peer, const forwarding::message &sent)
{
    const std::size_t index = std::stoul(peer.value);
    if (const auto *forwarded = std::get_if<forwarding::forward_request>(&sent)) {
        m_figures.crossings += dataCentreOf(node) == dataCentreOf(index) ? 0 : 1;
        schedule(m_now + delayBetween(node, index),
                 [this, index, node, copy = *forwarded] { receive(index, node, copy); });
    } else if (std::holds_alternative<forwarding::liveness_probe>(sent)) {
        schedule(m_now + 2 * delayBetween(node, index),
                 [this, node, peer] { m_nodes[node]->noteReceived(peer, m_now); });
    }
    return true;
}

inline void placement_model::receive(std::size_t index,
                                     std::size_t node,
                                     const forwarding::forward_request &forwarded)
{
    server &asked = m_servers[index];
    held_request held{node, forwarded, m_now, false};
    const std::uint64_t ticket = ++asked.lastTicket;
    const forwarding::admission_queue_decision decision = asked.admission->arrive(
        forwarding::admission_queue_request{ticket,
                                            forwarded.route,
                                            forwarded.rank,
                                            m_now + forwarded.remaining,
                                            m_now + forwarded.targetRemaining,
                                            forwarded.mayUseAnotherServer},
        m_now);
    if (decision.verdict == forwarding::admission_queue_verdict::Refuse) {
        forwarding::forward_answer refused;
        refused.outcome = forwarding::forward_outcome::NotRun;
        refused.reason = forwarding::forward_reason::Full;
        refused.retryAfter = decision.retryAfter;
        reply(index, held, refused);
        return;
    }
    asked.requests.emplace(ticket, held);
    if (decision.verdict == forwarding::admission_queue_verdict::Start) {
        start(index, ticket);
    }
}

inline void placement_model::start(std::size_t index, std::uint64_t ticket)
{
    server &asked = m_servers[index];
    held_request &held = asked.requests.at(ticket);
    held.startedAt = m_now;
    held.isRunning = true;
    schedule(m_now + workTime(asked, asked.admission->load({}).running),
             [this, index, ticket] { finish(index, ticket); });
}

inline void placement_model::finish(std::size_t index, std::uint64_t ticket)
{
    server &asked = m_servers[index];
    const held_request held = asked.requests.at(ticket);
    asked.requests.erase(ticket);
    apply(index, asked.admission->finish(ticket, m_now - held.startedAt, false, m_now));
    forwarding::forward_answer answered;
    answered.outcome = forwarding::forward_outcome::Answered;
    answered.status = 200;
    reply(index, held, answered);
}

inline void placement_model::apply(std::size_t index,
                                   const std::vector<forwarding::admission_queue_action> &actions)
{
    for (const forwarding::admission_queue_action &action : actions) {
        if (action.starts) {
            start(index, action.number);
            continue;
        }
        const held_request held = m_servers[index].requests.at(action.number);
        m_servers[index].requests.erase(action.number);
        forwarding::forward_answer refused;
        refused.outcome = forwarding::forward_outcome::NotRun;
        refused.reason = forwarding::forward_reason::Full;
        refused.retryAfter = action.retryAfter;
        reply(index, held, refused);
    }
}

inline void placement_model::reply(std::size_t index,
                                   const held_request &held,
                                   forwarding::forward_answer answer)
{
    answer.number = held.forwarded.number;
    answer.load = m_servers[index].admission->load(held.forwarded.route);
    schedule(m_now + delayBetween(held.node, index), [this, index, node = held.node, answer] {
        m_nodes[node]->handle(core::endpoint{std::to_string(index)}, answer, m_now);
    });
}

inline std::chrono::nanoseconds placement_model::workTime(const server &running, std::uint32_t busy)
{
    const double spread = m_shape.workSpread;
    std::lognormal_distribution<double> draw(std::log(m_shape.workMs) - spread * spread / 2,
                                             spread);
    const double utilisation = static_cast<double>(busy) / m_shape.slots;
    const double millis = draw(m_engine) / running.speed
        * (1 + placement_times::fullLoadSlowdown * utilisation * utilisation);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, std::milli>(millis));
}

inline void placement_model::issueToPlainProxy(const caller &requester)
{
    std::vector<std::uint32_t> &own = m_outstanding[requester.node];
    std::size_t index = m_nextServer++ % m_servers.size();
    if (m_kind == placement::LeastConnections) {
        for (std::size_t step = 0; step < own.size(); ++step) {
            const std::size_t other = (index + step) % own.size();
            index = own[other] < own[index] ? other : index;
        }
    }
    ++own[index];
    m_figures.crossings += dataCentreOf(requester.node) == dataCentreOf(index) ? 0 : 1;
    server &asked = m_servers[index];
    const auto begin = [this, index, requester] {
        startAtPlainServer(index, requester);
    };
    if (asked.running < m_shape.slots) {
        begin();
    } else {
        asked.queue.push_back(begin);
    }
}

inline void placement_model::startAtPlainServer(std::size_t index, const caller &requester)
{
    server &asked = m_servers[index];
    ++asked.running;
    const bool isOver = m_now >= requester.begunAt + m_shape.deadline;
    const std::chrono::nanoseconds time
        = isOver ? std::chrono::nanoseconds(0) : workTime(asked, asked.running);
    schedule(m_now + time, [this, index, requester] {
        --m_outstanding[requester.node][index];
        countAnswer(requester, true);
        finishAtPlainServer(index);
    });
}

inline void placement_model::finishAtPlainServer(std::size_t index)
{
    server &asked = m_servers[index];
    --asked.running;
    if (!asked.queue.empty()) {
        const std::function<void()> next = std::move(asked.queue.front());
        asked.queue.pop_front();
        next();
    }
}

} // namespace jackdawweir::bench
