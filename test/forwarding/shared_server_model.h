// One backend server and the callers of a wholesale order system, with a clock of its own: requests
// arrive at random, run for random times, and callers whose requests are refused return once.
//
//     shared_server_model model(9, 1);
//     model.addRoute({.name = "invoice", .perSecond = 9, ...});
//     model.addWorkspace("north", 1);
//     model.play(std::chrono::seconds(30));
//     const served_count &counted = model.ofRoute("invoice");

#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "jackdawweir/forwarding/admission_queue.h"

namespace jackdawweir::forwarding {

struct modelled_route {
    std::string name;
    std::uint32_t rank = 0;
    double perSecond = 0;
    std::chrono::milliseconds meanRunTime{0};
    std::chrono::milliseconds target{0};
    std::chrono::milliseconds deadline{0};
    // Calls of servers belong to no workspace.
    bool isCall = false;
};

struct served_count {
    int asked = 0;
    int inTarget = 0;
    int served = 0;

    double inTargetShare() const
    {
        return asked == 0 ? 1 : static_cast<double>(inTarget) / asked;
    }

    double servedShare() const
    {
        return asked == 0 ? 1 : static_cast<double>(served) / asked;
    }
};

class shared_server_model
{
public:
    // Without workspaces the queue decides as for deployments that have none, which is the
    // baseline.
    shared_server_model(std::uint32_t slots, bool hasWorkspaces, std::uint64_t seed)
        : m_queue(settingsFor(slots))
        , m_hasWorkspaces(hasWorkspaces)
        , m_engine(seed)
    {
    }

    void addRoute(const modelled_route &route)
    {
        m_routes.push_back(route);
    }

    // `weight` is the usual load of the workspace compared with the others, and its quota. It sends
    // `factor` times this.
    void addWorkspace(const std::string &name, double weight, double factor = 1)
    {
        m_workspaces.push_back({name, weight, factor});
    }

    // Callers that are refused return at once this many times, not once after the stated delay.
    void repeatAtOnce(const std::string &workspace, int times)
    {
        m_repeats[workspace] = times;
    }

    void play(std::chrono::seconds length)
    {
        const core::monotonic_time end = m_now + length;
        scheduleArrivals(end);
        constexpr std::chrono::milliseconds tick{20};
        m_events.push(event{m_now + tick, event_kind::Tick, 0});
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            handle(next, tick, end);
        }
    }

    served_count ofRoute(const std::string &name) const
    {
        return sum([&](const model_request &each) { return each.route->name == name; });
    }

    served_count ofWorkspace(const std::string &name) const
    {
        return sum([&](const model_request &each) { return each.workspace == name; });
    }

    // Returns the least share that is served of the requests of any workspace, except for these.
    double worstServedShare(const std::string &except) const
    {
        double worst = 1;
        for (const modelled_workspace &each : m_workspaces) {
            if (each.name != except) {
                worst = std::min(worst, ofWorkspace(each.name).servedShare());
            }
        }
        return worst;
    }

    // Returns the share of the time of all slots in which requests ran.
    double busyShare(std::chrono::seconds length, std::uint32_t slots) const
    {
        return m_busySeconds / (static_cast<double>(length.count()) * slots);
    }

private:
    enum class event_kind : std::uint8_t {
        Arrive,
        End,
        Tick,
    };

    struct event {
        core::monotonic_time at;
        event_kind kind = event_kind::Arrive;
        std::uint64_t request = 0;

        friend bool operator<(const event &left, const event &right)
        {
            return left.at > right.at;
        }
    };

    struct modelled_workspace {
        std::string name;
        double weight = 1;
        double factor = 1;
    };

    struct model_request {
        const modelled_route *route = nullptr;
        std::string workspace;
        double weight = 1;
        core::monotonic_time begunAt;
        std::chrono::microseconds runTime{0};
        int returns = 0;
        bool isServed = false;
        bool isInTarget = false;
    };

    static admission_queue_settings settingsFor(std::uint32_t slots)
    {
        admission_queue_settings settings;
        settings.slots = slots;
        return settings;
    }

    void scheduleArrivals(core::monotonic_time end)
    {
        double totalWeight = 0;
        for (const modelled_workspace &each : m_workspaces) {
            totalWeight += each.weight;
        }
        for (const modelled_route &route : m_routes) {
            if (route.isCall) {
                scheduleArrivals(route, modelled_workspace{}, route.perSecond, end);
                continue;
            }
            for (const modelled_workspace &each : m_workspaces) {
                const double rate = route.perSecond * each.factor * each.weight / totalWeight;
                scheduleArrivals(route, each, rate, end);
            }
        }
    }

    void scheduleArrivals(const modelled_route &route,
                          const modelled_workspace &workspace,
                          double perSecond,
                          core::monotonic_time end)
    {
        std::exponential_distribution<double> gap(perSecond);
        for (core::monotonic_time at = m_now + seconds(gap(m_engine)); at < end;
             at += seconds(gap(m_engine))) {
            model_request made;
            made.route = &route;
            made.workspace = workspace.name;
            made.weight = workspace.weight;
            made.begunAt = at;
            made.runTime = drawRunTime(route);
            m_requests.push_back(made);
            m_events.push(event{at, event_kind::Arrive, m_requests.size()});
        }
    }

    // Run times have a log-normal distribution.
    std::chrono::microseconds drawRunTime(const modelled_route &route)
    {
        constexpr double spread = 0.4;
        std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
        const std::chrono::duration<double> drawn = route.meanRunTime * factor(m_engine);
        return std::chrono::duration_cast<std::chrono::microseconds>(drawn);
    }

    static std::chrono::nanoseconds seconds(double time)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(time));
    }

    void handle(const event &next, std::chrono::milliseconds tick, core::monotonic_time end)
    {
        switch (next.kind) {
        case event_kind::Arrive:
            arrive(next.request);
            break;
        case event_kind::End:
            finish(next.request);
            break;
        case event_kind::Tick:
            apply(m_queue.expire(m_now));
            apply(m_queue.startWaiting(m_now));
            if (m_now < end + std::chrono::seconds(10)) {
                m_events.push(event{m_now + tick, event_kind::Tick, 0});
            }
            break;
        }
    }

    void arrive(std::uint64_t number)
    {
        const model_request &arrived = m_requests.at(number - 1);
        admission_queue_request request;
        request.number = number;
        request.route.value = arrived.route->name;
        request.rank = arrived.route->rank;
        request.target = arrived.begunAt + arrived.route->target;
        request.deadline = arrived.begunAt + arrived.route->deadline;
        if (m_hasWorkspaces && !arrived.workspace.empty()) {
            request.workspace.name.value = arrived.workspace;
            request.workspace.weight = arrived.weight;
        }
        const admission_queue_decision decision = m_queue.arrive(request, m_now);
        if (decision.verdict == admission_queue_verdict::Start) {
            start(number);
        } else if (decision.verdict == admission_queue_verdict::Refuse) {
            refuse(number, decision.retryAfter);
        }
    }

    void start(std::uint64_t number)
    {
        m_events.push(event{m_now + m_requests.at(number - 1).runTime, event_kind::End, number});
    }

    void finish(std::uint64_t number)
    {
        model_request &ended = m_requests.at(number - 1);
        const std::chrono::nanoseconds elapsed = m_now - ended.begunAt;
        ended.isServed = elapsed <= ended.route->deadline;
        ended.isInTarget = elapsed <= ended.route->target;
        m_busySeconds += std::chrono::duration<double>(ended.runTime).count();
        apply(m_queue.finish(number, ended.runTime, false, m_now));
    }

    void refuse(std::uint64_t number, std::chrono::microseconds retryAfter)
    {
        model_request &refused = m_requests.at(number - 1);
        const auto impatient = m_repeats.find(refused.workspace);
        const bool isImpatient = impatient != m_repeats.end();
        constexpr std::chrono::milliseconds shortestDelay{50};
        constexpr std::chrono::milliseconds longestDelay{1'000};
        const std::chrono::nanoseconds delay = isImpatient
            ? std::chrono::nanoseconds(std::chrono::milliseconds(10))
            : std::clamp<std::chrono::nanoseconds>(retryAfter, shortestDelay, longestDelay);
        const core::monotonic_time deadline = refused.begunAt + refused.route->deadline;
        const bool mayReturn = refused.returns < (isImpatient ? impatient->second : 1)
            && delay <= (deadline - m_now) / 3 && !refused.route->isCall;
        if (mayReturn) {
            ++refused.returns;
            m_events.push(event{m_now + delay, event_kind::Arrive, number});
        }
    }

    void apply(const std::vector<admission_queue_action> &actions)
    {
        for (const admission_queue_action &each : actions) {
            if (each.starts) {
                start(each.number);
            } else {
                refuse(each.number, each.retryAfter);
            }
        }
    }

    template<typename Predicate>
    served_count sum(Predicate isCounted) const
    {
        served_count counted;
        for (const model_request &each : m_requests) {
            if (isCounted(each)) {
                ++counted.asked;
                counted.served += each.isServed ? 1 : 0;
                counted.inTarget += each.isInTarget ? 1 : 0;
            }
        }
        return counted;
    }

    admission_queue m_queue;
    bool m_hasWorkspaces;
    std::mt19937_64 m_engine;
    core::monotonic_time m_now{std::chrono::seconds(100)};
    std::vector<modelled_route> m_routes;
    std::vector<modelled_workspace> m_workspaces;
    std::map<std::string, int> m_repeats;
    std::vector<model_request> m_requests;
    std::priority_queue<event> m_events;
    double m_busySeconds = 0;
};

} // namespace jackdawweir::forwarding
