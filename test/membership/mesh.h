// Simulates the nodes, relays and backend servers of a few data centres for the tests of this
// module. Each host runs one backend server, and the first hosts of a data centre are its relays.

#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jackdawweir/membership/node_agent.h"
#include "jackdawweir/membership/relay_directory.h"
#include "jackdawweir/membership/server_directory.h"
#include "support/message_network.h"

namespace jackdawweir::membership {

class mesh
{
public:
    static constexpr unsigned relaysEach = 3;
    static constexpr std::chrono::milliseconds removalLimit{3000};

    mesh(unsigned dataCentres, unsigned hostsEach, std::uint64_t seed)
        : m_engine(seed)
        , network(m_engine)
        , m_dataCentres(dataCentres)
        , m_hostsEach(hostsEach)
    {
        for (unsigned index = 0; index < dataCentres * hostsEach; ++index) {
            m_hosts.emplace_back();
            network.assignArea(endpointOf(index), index);
            startHost(index);
        }
    }

    std::size_t hostCount() const
    {
        return m_hosts.size();
    }

    // Starts the process of a host with empty state, and its backend server with a new incarnation.
    void startHost(std::size_t index)
    {
        host_record &host = m_hosts[index];
        host.process = std::make_unique<process_record>(settingsOf(index), isRelay(index));
        setServices(index, {serviceOf(index)});
        startServer(index);
    }

    void setServices(std::size_t index, const std::vector<core::service_name> &services)
    {
        host_record &host = m_hosts[index];
        host.process->directory.setServices(services);
        run(index, host.process->agent.setServices(services, now()));
    }

    void startServer(std::size_t index)
    {
        m_hosts[index].leftAt[m_hosts[index].incarnation] = now();
        m_hosts[index].incarnation = ++m_incarnations;
        m_hosts[index].state = server_state::Ready;
    }

    // Crashes the host and its server without a notification to the relays.
    void stopHost(std::size_t index)
    {
        m_hosts[index].process.reset();
        stopServer(index);
    }

    void restartStoppedHosts()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (m_hosts[index].process == nullptr) {
                startHost(index);
            }
        }
    }

    // Stops the announcements of a server, as after a crash or when they are lost.
    void stopServer(std::size_t index)
    {
        m_hosts[index].leftAt[m_hosts[index].incarnation] = now();
        m_hosts[index].state.reset();
    }

    void withdrawServer(std::size_t index)
    {
        const std::uint64_t incarnation = m_hosts[index].incarnation;
        stopServer(index);
        if (m_hosts[index].process != nullptr) {
            run(index,
                m_hosts[index].process->agent.withdraw(serverAddress(index), incarnation, now()));
        }
    }

    void partitionDataCentre(unsigned dataCentre, bool sending, bool receiving)
    {
        for (unsigned inside = 0; inside < m_hosts.size(); ++inside) {
            for (unsigned outside = 0; outside < m_hosts.size(); ++outside) {
                if (inside / m_hostsEach != dataCentre || outside / m_hostsEach == dataCentre) {
                    continue;
                }
                if (sending) {
                    network.cut(inside, outside);
                }
                if (receiving) {
                    network.cut(outside, inside);
                }
            }
        }
    }

    void advance(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds step{5};
        for (auto passed = step; passed <= duration; passed += step) {
            m_now += step;
            for (const auto &arrived : network.takeArrived(now())) {
                deliver(arrived);
            }
            if (m_now.count() % tickInterval.count() == 0) {
                tickAll();
                checkRemovedInTime();
            }
        }
    }

    // Returns true if the host's directory lists the present incarnation of a server.
    bool lists(std::size_t host, std::size_t server) const
    {
        const std::vector<backend_server> chosen
            = m_hosts[host].process->directory.eligible(serviceOf(server), now());
        return std::any_of(chosen.begin(), chosen.end(), [&](const backend_server &each) {
            return each.address == serverAddress(server)
                && each.incarnation == m_hosts[server].incarnation;
        });
    }

    // Returns true if every running directory lists exactly the running servers of its service.
    bool hasConverged() const
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            for (std::size_t server = 0; server < m_hosts.size(); ++server) {
                if (m_hosts[host].process == nullptr || serviceOf(host) != serviceOf(server)) {
                    continue;
                }
                if (lists(host, server) != m_hosts[server].state.has_value()) {
                    return false;
                }
            }
        }
        return true;
    }

    // Hosts of one parity share a service.
    static core::service_name serviceOf(std::size_t index)
    {
        return core::service_name{index % 2 == 0 ? "even" : "odd"};
    }

    static core::endpoint serverAddress(std::size_t index)
    {
        return core::endpoint{"server-" + std::to_string(index)};
    }

    // The servers in the view_changes messages delivered to each host.
    std::map<core::endpoint, std::vector<backend_server>> pushed;
    // Descriptions of the violated guarantees; empty when there are none.
    std::vector<std::string> violations;

private:
    struct process_record {
        process_record(const membership_settings &settings, bool isRelay)
            : agent(settings)
            , directory(settings)
        {
            if (isRelay) {
                relayDirectory = std::make_unique<relay_directory>(settings);
            }
        }

        node_agent agent;
        server_directory directory;
        std::unique_ptr<relay_directory> relayDirectory;
    };

    struct host_record {
        std::unique_ptr<process_record> process;
        std::uint64_t incarnation = 0;
        // The state that the server announces; empty when it does not run.
        std::optional<server_state> state;
        // When each incarnation of the server left.
        std::map<std::uint64_t, core::monotonic_time> leftAt;
    };

    static core::endpoint endpointOf(std::size_t index)
    {
        return core::endpoint{"host-" + std::to_string(index)};
    }

    static std::string nameOf(std::size_t dataCentre)
    {
        return "dc" + std::to_string(dataCentre);
    }

    bool isRelay(std::size_t index) const
    {
        return index % m_hostsEach < relaysEach;
    }

    core::monotonic_time now() const
    {
        return core::monotonic_time(std::chrono::hours(1) + m_now);
    }

    membership_settings settingsOf(std::size_t index)
    {
        settings_builder builder;
        builder.ownHost(endpointOf(index).value)
            .dataCentre(nameOf(index / m_hostsEach))
            .ownEndpoint(endpointOf(index).value)
            .incarnation(++m_incarnations);
        for (std::size_t relay = 0; relay < relaysEach; ++relay) {
            const std::size_t preferred = (index + relay) % relaysEach;
            for (unsigned dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
                const std::string address
                    = endpointOf(std::size_t{dataCentre} * m_hostsEach + preferred).value;
                if (dataCentre == index / m_hostsEach) {
                    builder.addRelay(address);
                } else {
                    builder.addRemoteRelay(nameOf(dataCentre), address);
                }
            }
        }
        return core::valueIn(builder.build());
    }

    void tickAll()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            host_record &host = m_hosts[index];
            if (host.process == nullptr) {
                continue;
            }
            if (host.state.has_value() && m_now.count() % 500 == 0) {
                announce(index);
            }
            run(index, host.process->agent.tick(now()));
            run(index, host.process->directory.setLocal(host.process->agent.table().servers()));
            run(index, host.process->directory.tick(now()));
            if (host.process->relayDirectory != nullptr) {
                run(index, host.process->relayDirectory->tick(now()));
            }
        }
    }

    void announce(std::size_t index)
    {
        backend_server server;
        server.address = serverAddress(index);
        server.service = serviceOf(index);
        server.incarnation = m_hosts[index].incarnation;
        server.state = *m_hosts[index].state;
        run(index, m_hosts[index].process->agent.announce(server, now()));
    }

    void deliver(const test::message_network<message>::delivery &arrived)
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            host_record &host = m_hosts[index];
            if (endpointOf(index) != arrived.to || host.process == nullptr) {
                continue;
            }
            if (const auto *changes = std::get_if<view_changes>(&arrived.body)) {
                std::vector<backend_server> &seen = pushed[arrived.to];
                seen.insert(seen.end(), changes->servers.begin(), changes->servers.end());
            }
            run(index, host.process->agent.handle(arrived.from, arrived.body, now()));
            run(index, host.process->directory.handle(arrived.from, arrived.body, now()));
            if (host.process->relayDirectory != nullptr) {
                run(index, host.process->relayDirectory->handle(arrived.from, arrived.body, now()));
            }
        }
    }

    void run(std::size_t self, const effects &wanted)
    {
        for (const effect &each : wanted) {
            if (const auto *sent = std::get_if<send_message>(&each)) {
                network.send(endpointOf(self), sent->peer, sent->body, now());
            }
        }
    }

    void checkRemovedInTime()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (m_hosts[index].process == nullptr) {
                continue;
            }
            for (const backend_server &listed :
                 m_hosts[index].process->directory.eligible(serviceOf(index), now())) {
                const host_record &owner = ownerOf(listed.address);
                const auto leftAt = owner.leftAt.find(listed.incarnation);
                if (leftAt != owner.leftAt.end() && now() - leftAt->second > removalLimit) {
                    violations.push_back(endpointOf(index).value + " still lists "
                                         + listed.address.value + " at "
                                         + std::to_string(m_now.count()) + " ms");
                }
            }
        }
    }

    const host_record &ownerOf(const core::endpoint &server) const
    {
        std::size_t index = 0;
        while (serverAddress(index) != server) {
            ++index;
        }
        return m_hosts[index];
    }

    core::random_engine m_engine;

public:
    test::message_network<message> network;

private:
    unsigned m_dataCentres;
    unsigned m_hostsEach;
    std::vector<host_record> m_hosts;
    std::uint64_t m_incarnations = 0;
    std::chrono::milliseconds m_now{0};
};

} // namespace jackdawweir::membership
