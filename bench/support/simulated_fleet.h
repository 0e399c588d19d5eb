// Runs the distribution and membership state machines of a whole fleet over simulated links, and
// measures bytes, processor time and convergence times.
//
// Links: 0.5 ms within a data centre, 1.5 ms within a region, 30 ms between regions, one way. Each
// host sends at linkBytesPerSecond, so that a burst queues at its sender. Each region consists
// of two data centres.

#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bench/support/fleet_parts.h"
#include "jackdawweir/distribution/rendezvous.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::bench {

class simulated_fleet
{
public:
    explicit simulated_fleet(fleet_settings settings)
        : m_settings(settings)
        , m_engine(settings.seed)
    {
        for (unsigned index = 0; index < settings.sources; ++index) {
            addHost("source-" + std::to_string(index), index % settings.dataCentres, true);
        }
        for (unsigned index = 0; index < settings.nodes; ++index) {
            addHost("node-" + std::to_string(index), index % settings.dataCentres, false);
        }
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            start(index);
        }
    }

    // Commits a version that changes the shares of one service or, with changeAll, of all.
    void commit(bool changeAll = false)
    {
        ++m_revision;
        document::document_builder builder;
        for (unsigned index = 0; index < m_settings.services; ++index) {
            const std::string name = "service-" + std::to_string(index);
            const bool isChanged = changeAll || index == m_revision % m_settings.services;
            const unsigned percent = isChanged ? m_revision % 100 + 1 : 0;
            builder.addService(
                name,
                {{core::version_name{"v1"}, 100 - percent}, {core::version_name{"v2"}, percent}});
            builder.addRoute(document::route_builder("route-of-" + name)
                                 .pathPrefix("/" + name + "/")
                                 .service(name)
                                 .build());
        }
        auto resources = std::make_shared<const document::resource_map>(
            document::toResources(builder.build(), {}));
        m_committed = core::config_version{1, m_revision, document::digestOf(*resources)};
        m_committedAt[m_committed] = m_now;
        for (std::size_t index = 0; index < m_settings.sources; ++index) {
            measure(role::Source, [&] {
                perform(index, m_hosts[index].source->publish(m_committed, resources, now()));
            });
        }
    }

    void stop(std::size_t host)
    {
        m_hosts[host].process.reset();
        m_hosts[host].held = {};
    }

    void start(std::size_t host)
    {
        if (!m_hosts[host].isSource) {
            m_hosts[host].held = {};
            m_hosts[host].active = {};
            m_hosts[host].process = makeProcess(host);
        }
    }

    std::vector<std::size_t> nodesOf(unsigned dataCentre) const
    {
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (!m_hosts[index].isSource && m_hosts[index].dataCentre == dataCentre) {
                found.push_back(index);
            }
        }
        return found;
    }

    std::size_t firstNode() const
    {
        return m_settings.sources;
    }

    std::size_t hostCount() const
    {
        return m_hosts.size();
    }

    void advance(std::chrono::nanoseconds duration)
    {
        const auto end = m_now + duration;
        while (true) {
            const auto next = m_queue.empty() ? m_nextTick : std::min(m_nextTick, m_queue.top().at);
            if (next > end) {
                break;
            }
            m_now = next;
            if (!m_queue.empty() && m_queue.top().at == next) {
                const packet arrived = m_queue.top();
                m_queue.pop();
                deliver(arrived);
            } else {
                tickAll();
                m_nextTick += distribution::tickInterval;
            }
        }
        m_now = end;
    }

    std::chrono::nanoseconds elapsed() const
    {
        return m_now;
    }

    bool isRelay(std::size_t host) const
    {
        return m_hosts[host].process != nullptr && m_hosts[host].process->ownRelay != nullptr;
    }

    bool hasProcess(std::size_t host) const
    {
        return m_hosts[host].process != nullptr;
    }

    // Times from commit to activation on each node, in milliseconds.
    std::vector<double> convergence;
    // The simulated time at which the last node held, and activated, the newest version.
    std::chrono::nanoseconds lastHeldAt{0};
    std::chrono::nanoseconds lastActivatedAt{0};
    // Bytes and processor time by role, and bytes by host.
    std::array<usage, 3> usageByRole;
    std::vector<std::uint64_t> hostBytes;
    // The longest time that a message has waited for the link of its sender.
    std::chrono::nanoseconds longestQueue{0};

    std::size_t countOf(role wanted) const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            count += roleOf(index) == wanted ? 1 : 0;
        }
        return count;
    }

    std::size_t countHolding(const core::config_version &version) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(), [&](const host_record &host) {
                return !host.isSource && host.held == version;
            }));
    }

    std::size_t countActive() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(), [&](const host_record &host) {
                return !host.isSource && host.active == m_committed;
            }));
    }

    const core::config_version &committed() const
    {
        return m_committed;
    }

    void resetCounters()
    {
        convergence.clear();
        usageByRole = {};
        hostBytes.assign(m_hosts.size(), 0);
        longestQueue = {};
    }

private:
    core::monotonic_time now() const
    {
        return core::monotonic_time(1h + m_now);
    }

    void addHost(const std::string &name, unsigned dataCentre, bool isSource)
    {
        host_record host;
        host.address.value = name;
        host.dataCentre = dataCentre;
        host.isSource = isSource;
        if (isSource) {
            host.source = std::make_unique<distribution::publisher>(
                distribution::publisher_role::Source, m_settings.admission);
        } else {
            m_candidates[dataCentre].push_back(host.address);
        }
        m_indexOf[name] = m_hosts.size();
        m_hosts.push_back(std::move(host));
        hostBytes.push_back(0);
    }

    static core::data_centre_name nameOf(unsigned dataCentre)
    {
        return core::data_centre_name{"dc-" + std::to_string(dataCentre)};
    }

    std::unique_ptr<process_record> makeProcess(std::size_t index)
    {
        const host_record &host = m_hosts[index];
        const std::uint64_t incarnation = ++m_incarnations;
        distribution::settings_builder distributed;
        distributed.ownHost(host.address.value)
            .dataCentre(nameOf(host.dataCentre).value)
            .ownEndpoint(host.address.value)
            .incarnation(incarnation)
            .admission(m_settings.admission);
        for (const core::endpoint &candidate : m_candidates[host.dataCentre]) {
            distributed.addRelayCandidate(candidate.value);
        }
        for (unsigned source = 0; source < m_settings.sources; ++source) {
            distributed.addSource(m_hosts[source].address.value);
        }
        const distribution::distribution_settings built = core::valueIn(distributed.build());
        if (built.isRelay() && m_settings.withoutRelays) {
            return nullptr;
        }
        auto process = std::make_unique<process_record>(
            built, memberSettings(host, incarnation), built.isRelay(), m_engine);
        process->incarnation = incarnation;
        return process;
    }

    membership::membership_settings memberSettings(const host_record &host,
                                                   std::uint64_t incarnation)
    {
        membership::settings_builder member;
        member.ownHost(host.address.value)
            .dataCentre(nameOf(host.dataCentre).value)
            .ownEndpoint(host.address.value)
            .incarnation(incarnation);
        for (unsigned dataCentre = 0; dataCentre < m_settings.dataCentres; ++dataCentre) {
            const std::vector<core::endpoint> relays = distribution::rankByRendezvous(
                host.address.value,
                distribution::chooseRelays(nameOf(dataCentre), m_candidates[dataCentre]));
            for (const core::endpoint &relay : relays) {
                if (dataCentre == host.dataCentre) {
                    member.addRelay(relay.value);
                } else {
                    member.addRemoteRelay(nameOf(dataCentre).value, relay.value);
                }
            }
        }
        return core::valueIn(member.build());
    }

    role roleOf(std::size_t host) const
    {
        if (m_hosts[host].isSource) {
            return role::Source;
        }
        return isRelay(host) ? role::Relay : role::Node;
    }

    // Adds the processor time that the call takes to the usage of a role.
    template<typename Call>
    void measure(role measuredRole, Call &&call)
    {
        std::timespec before{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
        call();
        std::timespec after{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
        const auto spent
            = (after.tv_sec - before.tv_sec) * 1'000'000'000LL + after.tv_nsec - before.tv_nsec;
        usageByRole[static_cast<std::size_t>(measuredRole)].cpuNanoseconds
            += static_cast<std::uint64_t>(spent);
    }

    void tickAll()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            host_record &host = m_hosts[index];
            if (host.source != nullptr) {
                measure(role::Source, [&] { perform(index, host.source->tick(now())); });
            }
            if (host.process != nullptr) {
                measure(roleOf(index), [&] { tickProcess(index, *host.process); });
            }
        }
    }

    void tickProcess(std::size_t index, process_record &process)
    {
        perform(index, process.configSubscriber.tick(now()));
        if (m_now.count() / 1'000'000 % 500 == static_cast<std::int64_t>(index % 10) * 50) {
            perform(index, process.nodeAgent.announce(serverOf(index), now()));
        }
        perform(index, process.nodeAgent.tick(now()));
        perform(index, process.serverDirectory.setLocal(process.nodeAgent.table().servers()));
        perform(index, process.serverDirectory.tick(now()));
        if (process.ownRelay != nullptr) {
            perform(index, process.ownRelay->tick(now()));
            perform(index, process.relayDirectory->tick(now()));
        }
    }

    membership::backend_server serverOf(std::size_t index) const
    {
        membership::backend_server server;
        server.address.value
            = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":8080";
        server.service.value = "service-" + std::to_string(index % m_settings.services);
        server.version.value = "v1";
        server.incarnation = m_hosts[index].process->incarnation;
        server.slots = 12;
        server.connections = 130;
        server.state = membership::server_state::Ready;
        return server;
    }

    void deliver(const packet &arrived)
    {
        measure(roleOf(arrived.to), [&] {
            const core::endpoint &peer = m_hosts[arrived.from].address;
            if (arrived.isMembership) {
                const auto body = wire::decode<membership::message>(arrived.bytes, peer);
                deliverMembership(arrived.to, peer, core::valueIn(body));
            } else {
                const auto body = wire::decode<distribution::message>(arrived.bytes, peer);
                deliverDistribution(arrived.to, peer, core::valueIn(body));
            }
        });
    }

    void deliverDistribution(std::size_t to,
                             const core::endpoint &peer,
                             const distribution::message &body)
    {
        host_record &host = m_hosts[to];
        if (host.source != nullptr) {
            perform(to, host.source->handle(peer, body, now()));
        }
        if (host.process != nullptr) {
            perform(to, host.process->configSubscriber.handle(peer, body, now()));
        }
        if (host.process != nullptr && host.process->ownRelay != nullptr) {
            perform(to, host.process->ownRelay->handle(peer, body, now()));
        }
    }

    void
    deliverMembership(std::size_t to, const core::endpoint &peer, const membership::message &body)
    {
        host_record &host = m_hosts[to];
        if (host.process == nullptr) {
            return;
        }
        perform(to, host.process->nodeAgent.handle(peer, body, now()));
        perform(to, host.process->serverDirectory.handle(peer, body, now()));
        if (host.process->relayDirectory != nullptr) {
            perform(to, host.process->relayDirectory->handle(peer, body, now()));
        }
    }

    template<typename Effects>
    void perform(std::size_t self, const Effects &wanted)
    {
        for (const auto &each : wanted) {
            std::visit([&](const auto &body) { apply(self, body); }, each);
        }
    }

    void apply(std::size_t self, const distribution::send_message &sent)
    {
        send(self, sent.peer, wire::encode(sent.body), false);
    }

    void apply(std::size_t self, const membership::send_message &sent)
    {
        send(self, sent.peer, wire::encode(sent.body), true);
    }

    void apply(std::size_t self, const distribution::hold_configuration &held)
    {
        host_record &host = m_hosts[self];
        host.held = held.version;
        lastHeldAt = m_now;
        if (host.process->ownRelay != nullptr) {
            perform(self, host.process->ownRelay->hold(held.version, held.resources, now()));
        }
    }

    void apply(std::size_t self, const distribution::activate_configuration &wanted)
    {
        host_record &host = m_hosts[self];
        host.active = wanted.activated->version;
        lastActivatedAt = m_now;
        const std::chrono::duration<double, std::milli> took = m_now - m_committedAt[host.active];
        convergence.push_back(took.count());
        std::vector<core::service_name> services;
        for (const document::service &service : wanted.activated->services) {
            services.push_back(service.name);
        }
        host.process->serverDirectory.setServices(services);
        perform(self, host.process->nodeAgent.setServices(std::move(services), now()));
    }

    void apply(std::size_t self, const distribution::confirm_read &read)
    {
        // The first source is always the leader. Confirming a read is part of the agreement module,
        // which is not simulated here.
        core::result<core::config_version> outcome = m_committed;
        if (self != 0) {
            outcome = core::error{core::error_code::NotLeader, "confirm-read", "", "no lease"};
        }
        perform(self, m_hosts[self].source->completeRead(read.readId, outcome));
    }

    template<typename Other>
    void apply(std::size_t, const Other &)
    {
    }

    void send(std::size_t from, const core::endpoint &peer, std::string bytes, bool isMembership)
    {
        const std::size_t to = m_indexOf.at(peer.value);
        auto at = m_now;
        if (from != to) {
            host_record &sender = m_hosts[from];
            const std::size_t size = bytes.size() + frameHeaderBytes + overheadBytes;
            const auto sending = std::chrono::nanoseconds(
                static_cast<std::int64_t>(static_cast<double>(size) / linkBytesPerSecond * 1e9));
            const auto begin = std::max(m_now, sender.linkFreeAt);
            longestQueue = std::max(longestQueue, begin - m_now);
            sender.linkFreeAt = begin + sending;
            at = sender.linkFreeAt + delayBetween(sender, m_hosts[to]);
            count(from, size);
            count(to, size);
        }
        m_queue.push(packet{at, ++m_sent, from, to, isMembership, std::move(bytes)});
    }

    void count(std::size_t host, std::size_t bytes)
    {
        usageByRole[static_cast<std::size_t>(roleOf(host))].bytes += bytes;
        hostBytes[host] += bytes;
    }

    fleet_settings m_settings;
    core::random_engine m_engine;
    std::vector<host_record> m_hosts;
    std::map<unsigned, std::vector<core::endpoint>> m_candidates;
    std::unordered_map<std::string, std::size_t> m_indexOf;
    std::priority_queue<packet, std::vector<packet>, std::greater<>> m_queue;
    std::map<core::config_version, std::chrono::nanoseconds> m_committedAt;
    core::config_version m_committed;
    unsigned m_revision = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_sent = 0;
    std::chrono::nanoseconds m_now{0};
    std::chrono::nanoseconds m_nextTick{0};
};

} // namespace jackdawweir::bench
