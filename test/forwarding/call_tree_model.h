// A seeded model of two services without a network. Runs of "orders" make two calls each to
// "prices", which also gets requests of its own. Orders always have a free slot; prices are one
// queue of `slots`, run by the shipped admission queue.
//
//     const call_tree_figures figures = call_tree_model(load, call_tree_rules::Shipped,
//     seed).run();

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "jackdawweir/forwarding/admission_queue.h"
#include "jackdawweir/forwarding/call_graph.h"
#include "jackdawweir/forwarding/downstream_admission.h"

namespace jackdawweir::forwarding {

enum class call_tree_rules : std::uint8_t {
    // The rules before this module: calls wait like new requests, and every order begins.
    Previous,
    Shipped,
};

// Arrivals per second, Poisson, for as long as the model runs.
struct call_tree_load {
    double ordersPerSecond = 0;
    double directPerSecond = 0;
    // The fraction of the orders that make calls.
    double callingShare = 0.7;
};

struct call_tree_figures {
    double orders = 0;
    double ordersInTarget = 0;
    // Orders that were refused before any server worked for them.
    double ordersRefused = 0;
    // Orders whose run began and ended without an answer in time, or failed.
    double runsEndedBadly = 0;
    double direct = 0;
    double directInTarget = 0;
};

class call_tree_model
{
public:
    call_tree_model(const call_tree_load &load, call_tree_rules rules, std::uint64_t seed)
        : m_load(load)
        , m_rules(rules)
        , m_engine(seed)
        , m_prices(priceQueue())
    {
    }

    call_tree_figures run()
    {
        scheduleArrival(m_load.ordersPerSecond, [this] { arriveOrder(); });
        scheduleArrival(m_load.directPerSecond, [this] { arriveDirect(); });
        scheduleTick();
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.function();
        }
        return m_figures;
    }

private:
    using time_point = core::monotonic_time;
    using milliseconds = std::chrono::milliseconds;
    using call_handler = std::function<void(bool isServed)>;

    static constexpr milliseconds duration{20'000};
    static constexpr milliseconds orderWork{250};
    static constexpr milliseconds callWork{72};
    static constexpr milliseconds directWork{200};
    static constexpr milliseconds orderTarget{800};
    static constexpr milliseconds orderDeadline{1'200};
    static constexpr milliseconds callTarget{300};
    static constexpr milliseconds directTarget{1'000};
    static constexpr milliseconds directDeadline{2'500};
    static constexpr std::uint32_t slots = 40;
    // An order works before, between and after its calls.
    static constexpr int orderParts = 3;

    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> function;

        friend bool operator<(const event &left, const event &right)
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    struct order {
        std::uint64_t number = 0;
        time_point begunAt;
        int callsLeft = 0;
    };

    struct price_request {
        call_handler handler;
        milliseconds work{0};
        time_point startedAt;
    };

    static admission_queue_settings priceQueue()
    {
        admission_queue_settings settings;
        settings.slots = slots;
        return settings;
    }

    void schedule(time_point at, std::function<void()> function)
    {
        m_events.push(event{at, ++m_lastEvent, std::move(function)});
    }

    void scheduleArrival(double perSecond, const std::function<void()> &arrive)
    {
        std::exponential_distribution<double> gap(perSecond);
        const auto next = m_now
            + std::chrono::duration_cast<std::chrono::nanoseconds>(
                              std::chrono::duration<double>(gap(m_engine)));
        if (next >= m_end) {
            return;
        }
        schedule(next, [this, perSecond, arrive] {
            arrive();
            scheduleArrival(perSecond, arrive);
        });
    }

    void scheduleTick()
    {
        if (m_now >= m_end) {
            return;
        }
        schedule(m_now + milliseconds(20), [this] {
            apply(m_prices.expire(m_now));
            scheduleTick();
        });
    }

    milliseconds varied(milliseconds work)
    {
        std::lognormal_distribution<double> factor(-0.125, 0.5);
        return milliseconds(
            static_cast<std::int64_t>(static_cast<double>(work.count()) * factor(m_engine)));
    }

    void arriveOrder()
    {
        ++m_figures.orders;
        if (m_rules == call_tree_rules::Shipped
            && !m_admission
                    .decide(downstream_request{m_orderRoute, 2, milliseconds(0)}, m_now, m_engine)
                    .isAdmitted) {
            ++m_figures.ordersRefused;
            return;
        }
        std::bernoulli_distribution callsOut(m_load.callingShare);
        const order begun{++m_lastNumber, m_now, callsOut(m_engine) ? orderParts - 1 : 0};
        m_calls.beginRun(begun.number, m_orderRoute, m_now + orderDeadline, m_now);
        work(begun);
    }

    void work(const order &running)
    {
        schedule(m_now + varied(orderWork) / orderParts, [this, running] { goOn(running); });
    }

    void goOn(order running)
    {
        if (running.callsLeft == 0) {
            schedule(m_now, [this, running] { endOrder(running, true); });
            return;
        }
        --running.callsLeft;
        const time_point deadline = running.begunAt + orderDeadline;
        admission_queue_request call;
        call.route = m_callRoute;
        call.rank = 2;
        call.deadline = deadline;
        call.target = m_now + callTarget;
        const bool isCall = m_calls.isCall(m_callRoute, deadline, m_now);
        call.isCallOfRun = m_rules == call_tree_rules::Shipped && isCall;
        ask(call, varied(callWork), [this, running](bool isServed) {
            m_calls.recordCall(m_callRoute,
                               m_priceService,
                               isServed ? call_result::NotRefused : call_result::Refused,
                               m_now);
            if (isServed) {
                work(running);
            } else {
                endOrder(running, false);
            }
        });
    }

    void endOrder(const order &ended, bool isServed)
    {
        m_calls.endRun(ended.number);
        m_admission.record(m_orderRoute, m_calls.loadsOf(m_orderRoute, m_now), m_now);
        const bool isInTime = isServed && m_now <= ended.begunAt + orderDeadline;
        m_figures.runsEndedBadly += isInTime ? 0 : 1;
        m_figures.ordersInTarget += isServed && m_now <= ended.begunAt + orderTarget ? 1 : 0;
    }

    void arriveDirect()
    {
        ++m_figures.direct;
        admission_queue_request request;
        request.route = m_directRoute;
        request.rank = 2;
        request.deadline = m_now + directDeadline;
        request.target = m_now + directTarget;
        ask(request, varied(directWork), [this, begunAt = m_now](bool isServed) {
            m_figures.directInTarget += isServed && m_now <= begunAt + directTarget ? 1 : 0;
        });
    }

    void ask(admission_queue_request request, milliseconds work, const call_handler &handler)
    {
        request.number = ++m_lastNumber;
        m_requests[request.number] = price_request{handler, work, m_now};
        const admission_queue_decision decision = m_prices.arrive(request, m_now);
        if (decision.verdict == admission_queue_verdict::Start) {
            start(request.number);
        } else if (decision.verdict == admission_queue_verdict::Refuse) {
            refuse(request.number);
        }
    }

    void start(std::uint64_t number)
    {
        price_request &started = m_requests.at(number);
        started.startedAt = m_now;
        schedule(m_now + started.work, [this, number] {
            const price_request ended = m_requests.at(number);
            m_requests.erase(number);
            apply(m_prices.finish(number, m_now - ended.startedAt, false, m_now));
            ended.handler(true);
        });
    }

    void refuse(std::uint64_t number)
    {
        const call_handler handler = m_requests.at(number).handler;
        m_requests.erase(number);
        handler(false);
    }

    void apply(const std::vector<admission_queue_action> &actions)
    {
        for (const admission_queue_action &each : actions) {
            if (each.starts) {
                start(each.number);
            } else {
                refuse(each.number);
            }
        }
    }

    const core::route_name m_orderRoute{"order"};
    const core::route_name m_callRoute{"price"};
    const core::route_name m_directRoute{"pattern"};
    const core::service_name m_priceService{"prices"};
    call_tree_load m_load;
    call_tree_rules m_rules;
    core::random_engine m_engine;
    admission_queue m_prices;
    call_graph m_calls;
    downstream_admission m_admission;
    time_point m_now{std::chrono::seconds(100)};
    time_point m_end = m_now + duration;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_lastNumber = 0;
    std::priority_queue<event> m_events;
    std::map<std::uint64_t, price_request> m_requests;
    call_tree_figures m_figures;
};

} // namespace jackdawweir::forwarding
