// Callers' dispatchers, gateways and backend servers that exchange messages in one thread, with a
// manual clock. Requests reach the servers over loopback connections.
//
//     gateway_mesh mesh(3, {"a", "b"});
//     mesh.server(0).stated = "Jackdawweir-Server-Limit: 5\r\n";
//     mesh.play(std::chrono::seconds(10), 100);

#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>

#include "forwarding/dispatcher_fixture.h"
#include "forwarding/stating_server.h"
#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::forwarding {

class gateway_mesh
{
public:
    struct counted_answers {
        std::size_t begun = 0;
        std::size_t served = 0;
        std::size_t refused = 0;
        std::chrono::milliseconds shortestRetryAfter{std::chrono::milliseconds::max()};
    };

    // Starts one server, with its node, in each of the data centres.
    gateway_mesh(int callers, const std::vector<std::string> &dataCentres)
    {
        clock.advance(std::chrono::seconds(100));
        for (const std::string &dataCentre : dataCentres) {
            addHost(dataCentre);
        }
        for (int index = 0; index < callers; ++index) {
            addCaller(index);
        }
        updateHosts();
    }

    stating_server &server(std::size_t index)
    {
        return m_hosts.at(index)->server;
    }

    server_gateway &gateway(std::size_t index)
    {
        return *m_hosts.at(index)->gateway;
    }

    // Puts a view into force at all callers and, unless `gatewaysLag`, at all gateways.
    void setView(const policy::policy_view &view, bool gatewaysLag = false)
    {
        for (auto &[endpoint, caller] : m_callers) {
            caller->setView(view);
        }
        if (!gatewaysLag) {
            setGatewayView(view);
        }
    }

    void setGatewayView(const policy::policy_view &view)
    {
        for (const auto &host : m_hosts) {
            host->gateway->setPolicy(makeGatewayPolicy(view, host->record.dataCentre),
                                     clock.monotonicNow());
        }
    }

    // The node beside the server restarts at once: it forgets everything, and its links end.
    void restartNode(std::size_t index)
    {
        mesh_host &host = *m_hosts.at(index);
        host.gateway = makeGateway(host);
        host.server.dropRunning();
        for (auto &[endpoint, caller] : m_callers) {
            caller->linkLost(host.record.endpoint, true, clock.monotonicNow());
        }
    }

    // The server restarts under its name. The gateway and all callers learn of this.
    void restartServer(std::size_t index)
    {
        mesh_host &host = *m_hosts.at(index);
        host.record.servers.front().startedAt += std::chrono::seconds(1);
        host.gateway->setServers({hosted_server{host.record.servers.front(), std::nullopt}});
        updateHosts();
    }

    // Lists the hosts again, as a report of their nodes does.
    void updateHosts()
    {
        std::vector<fleet::host_record> records;
        for (const auto &host : m_hosts) {
            records.push_back(host->record);
        }
        for (auto &[endpoint, caller] : m_callers) {
            caller->setHosts(records, clock.monotonicNow());
        }
    }

    // Lets the callers send requests in turn, evenly spread over the time.
    void play(std::chrono::milliseconds length, double requestsPerSecond)
    {
        constexpr std::chrono::milliseconds step{5};
        for (std::chrono::milliseconds passed(0); passed < length; passed += step) {
            m_due += requestsPerSecond * std::chrono::duration<double>(step).count();
            for (; m_due >= 1; m_due -= 1) {
                beginRequest();
            }
            settle();
            clock.advance(step);
            const core::monotonic_time now = clock.monotonicNow();
            for (const auto &host : m_hosts) {
                host->server.answerDue();
            }
            settle();
            for (const auto &host : m_hosts) {
                host->gateway->tick(now);
            }
            for (auto &[endpoint, caller] : m_callers) {
                caller->tick(now);
            }
        }
        settle();
    }

    core::manual_clock clock;
    counted_answers answers;

private:
    struct mesh_host {
        mesh_host(boost::asio::io_context &context, const core::clock &used)
            : server(context, used)
        {
        }

        stating_server server;
        fleet::host_record record;
        std::unique_ptr<server_gateway> gateway;
    };

    struct queued_message {
        core::endpoint from;
        core::endpoint to;
        std::string bytes;
    };

    void addHost(const std::string &dataCentre)
    {
        auto host = std::make_unique<mesh_host>(m_context, clock);
        host->record
            = dispatcher_fixture::hostWith("host-" + std::to_string(m_hosts.size()), dataCentre);
        fleet::server_record &server = host->record.servers.front();
        server.address = host->server.address();
        server.slots = 8;
        server.startedAt = std::chrono::seconds(50);
        host->gateway = makeGateway(*host);
        m_hosts.push_back(std::move(host));
    }

    std::unique_ptr<server_gateway> makeGateway(const mesh_host &host)
    {
        const core::endpoint own = host.record.endpoint;
        auto made = std::make_unique<server_gateway>(
            m_context,
            gateway_settings{},
            clock,
            gateway_hooks{[this, own](const core::endpoint &peer,
                                      const std::string &,
                                      const forward_answer &answer) { send(own, peer, answer); },
                          [] {},
                          [](const leaving_request &) {
                          }});
        made->setServers({hosted_server{host.record.servers.front(), std::nullopt}});
        return made;
    }

    void addCaller(int index)
    {
        const core::endpoint own{"caller-" + std::to_string(index) + ":7000"};
        auto caller = std::make_unique<dispatcher>(
            dispatcher_fixture::settings(),
            dispatcher_hooks{[this, own](const core::endpoint &peer, const message &body) {
                                 send(own, peer, body);
                                 return true;
                             },
                             [](const core::endpoint &) {},
                             [](const core::endpoint &, reachability_change) {
                             }},
            core::random_engine(static_cast<std::uint64_t>(index) + 1));
        caller->setView(dispatcher_fixture::view());
        m_callers[own] = std::move(caller);
        m_callerOrder.push_back(own);
    }

    void beginRequest()
    {
        dispatcher &caller = *m_callers.at(m_callerOrder[answers.begun % m_callerOrder.size()]);
        caller_request sent = dispatcher_fixture::request("/lookup/1");
        sent.id = "id-" + std::to_string(++answers.begun);
        sent.message.headers.push_back({"Jackdawweir-Request-Id", sent.id});
        caller.begin(
            std::move(sent),
            [this](const caller_answer &answer) {
                answers.served += answer.outcome == caller_outcome::Answered ? 1 : 0;
                if (answer.outcome == caller_outcome::NotRun) {
                    ++answers.refused;
                    answers.shortestRetryAfter
                        = std::min(answers.shortestRetryAfter, answer.retryAfter);
                }
            },
            clock.monotonicNow());
    }

    void send(const core::endpoint &from, const core::endpoint &to, const message &body)
    {
        m_sent.push_back(queued_message{from, to, wire::encode(body)});
    }

    void deliver()
    {
        while (!m_sent.empty()) {
            const queued_message next = std::move(m_sent.front());
            m_sent.pop_front();
            auto body = core::valueIn(wire::decode<message>(next.bytes, next.from));
            const core::monotonic_time now = clock.monotonicNow();
            const auto caller = m_callers.find(next.to);
            if (caller != m_callers.end()) {
                caller->second->noteReceived(next.from, now);
                if (auto *answer = std::get_if<forward_answer>(&body)) {
                    caller->second->handle(next.from, std::move(*answer), now);
                }
                continue;
            }
            for (const auto &host : m_hosts) {
                if (host->record.endpoint == next.to) {
                    receive(*host, next.from, std::move(body));
                    break;
                }
            }
        }
    }

    void receive(mesh_host &host, const core::endpoint &from, message body)
    {
        const core::monotonic_time now = clock.monotonicNow();
        if (auto *request = std::get_if<forward_request>(&body)) {
            host.gateway->handle(from, std::move(*request), now);
        } else if (const auto *cancelled = std::get_if<forward_cancel>(&body)) {
            host.gateway->handle(from, *cancelled, now);
        } else if (const auto *probe = std::get_if<liveness_probe>(&body)) {
            send(host.record.endpoint, from, liveness_reply{probe->number});
        }
    }

    // Returns true once each request that a gateway has sent runs at its server. A server still
    // runs requests that were cancelled.
    bool isSettled() const
    {
        return m_sent.empty() && std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
                   const server_gateway &gateway = *host->gateway;
                   return gateway.openRequests() - gateway.waitingRequests()
                       <= host->server.running();
               });
    }

    void settle()
    {
        const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        deliver();
        while (!isSettled() && std::chrono::steady_clock::now() < bound) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(1));
            deliver();
        }
        CPPUNIT_ASSERT(isSettled());
    }

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<mesh_host>> m_hosts;
    std::map<core::endpoint, std::unique_ptr<dispatcher>> m_callers;
    std::vector<core::endpoint> m_callerOrder;
    std::deque<queued_message> m_sent;
    double m_due = 0;
};

} // namespace jackdawweir::forwarding
