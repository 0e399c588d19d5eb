// Simulates the sources, relays and nodes of a few data centres for the tests of this module, and
// checks every activation against the guarantees P1 to P3.

#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jackdawweir/distribution/publisher.h"
#include "jackdawweir/distribution/relay.h"
#include "jackdawweir/distribution/subscriber.h"
#include "support/message_network.h"

namespace jackdawweir::distribution {

// Returns a document of `serviceCount` services whose shares differ between revisions.
inline document::document documentOf(unsigned serviceCount, unsigned revision)
{
    document::document_builder builder;
    for (unsigned index = 0; index < serviceCount; ++index) {
        const std::string name = "service-" + std::to_string(index);
        const unsigned percent = (revision * 7 + index) % 101;
        builder.addService(
            name, {{core::version_name{"v1"}, percent}, {core::version_name{"v2"}, 100 - percent}});
        builder.addRoute(
            document::route_builder("route-" + name).pathPrefix("/" + name).service(name).build());
    }
    return builder.build();
}

class fleet
{
public:
    static constexpr unsigned sourceCount = 3;

    fleet(unsigned dataCentres, unsigned hostsEach, std::uint64_t seed)
        : m_engine(seed)
        , network(m_engine)
    {
        for (unsigned index = 0; index < sourceCount; ++index) {
            m_sources.emplace_back(publisher_role::Source, admission_settings{});
            network.assignArea(sourceAddress(index), sourceArea);
        }
        for (unsigned dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
            for (unsigned host = 0; host < hostsEach; ++host) {
                m_hosts.push_back(host_record{dataCentre, host, hostsEach, nullptr, {}, {}});
                network.assignArea(m_hosts.back().address(),
                                   static_cast<unsigned>(m_hosts.size() - 1));
                start(m_hosts.size() - 1);
            }
        }
    }

    // Drops the messages between a data centre and the sources in one direction or both.
    void cutFromSources(unsigned dataCentre, bool sending, bool receiving)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].dataCentre == dataCentre) {
                cutHost(host, sourceArea, sending, receiving);
            }
        }
    }

    // Drops the messages between one host and the other hosts in one direction or both.
    void isolate(std::size_t isolated, bool sending, bool receiving)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (host != isolated) {
                cutHost(isolated, static_cast<unsigned>(host), sending, receiving);
            }
        }
    }

    // Commits a new version, which changes, adds and removes resources.
    void commit(unsigned serviceCount)
    {
        ++m_revision;
        auto resources = std::make_shared<const document::resource_map>(
            document::toResources(documentOf(serviceCount, m_revision), {}));
        m_committed = core::config_version{1, m_revision, document::digestOf(*resources)};
        m_documents[m_committed] = resources;
        for (unsigned index = 0; index < sourceCount; ++index) {
            run(sourceAddress(index), m_sources[index].publish(m_committed, resources, now()));
        }
    }

    void restart(std::size_t host)
    {
        m_hosts[host].process.reset();
        start(host);
    }

    void stop(std::size_t host)
    {
        m_hosts[host].process.reset();
    }

    void restartDataCentre(unsigned dataCentre)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].dataCentre == dataCentre) {
                restart(host);
            }
        }
    }

    void advance(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds step{5};
        for (auto passed = step; passed <= duration; passed += step) {
            m_now += step;
            for (auto &arrived : network.takeArrived(now())) {
                deliver(arrived);
            }
            if (m_now.count() % tickInterval.count() == 0) {
                tickAll();
            }
        }
    }

    std::size_t hostCount() const
    {
        return m_hosts.size();
    }

    bool isActive(std::size_t host) const
    {
        return m_hosts[host].process != nullptr && m_hosts[host].process->agent.active() != nullptr;
    }

    core::config_version activeOf(std::size_t host) const
    {
        return isActive(host) ? m_hosts[host].process->agent.active()->version
                              : core::config_version{};
    }

    std::optional<refusal_reason> refusalOf(std::size_t host) const
    {
        return m_hosts[host].refusal;
    }

    bool isRelay(std::size_t host) const
    {
        return m_hosts[host].process->localRelay != nullptr;
    }

    const core::config_version &committed() const
    {
        return m_committed;
    }

    bool hasConverged() const
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (activeOf(host) != m_committed) {
                return false;
            }
        }
        return true;
    }

    // Descriptions of the violated guarantees; empty when there are none.
    std::vector<std::string> violations;
    // If false, no source holds a leader lease, so every confirmed read fails.
    bool leaderHoldsLease = true;

private:
    // Each host is an area of the network, and all sources share one more.
    static constexpr unsigned sourceArea = 999;

    void cutHost(std::size_t host, unsigned area, bool sending, bool receiving)
    {
        if (sending) {
            network.cut(static_cast<unsigned>(host), area);
        }
        if (receiving) {
            network.cut(area, static_cast<unsigned>(host));
        }
    }

    struct process_record {
        process_record(const distribution_settings &settings, core::random_engine &engine)
            : agent(settings, engine)
        {
            if (settings.isRelay()) {
                localRelay = std::make_unique<relay>(settings, engine);
            }
        }

        subscriber agent;
        std::unique_ptr<relay> localRelay;
    };

    struct host_record {
        unsigned dataCentre = 0;
        unsigned index = 0;
        unsigned hostsInDataCentre = 0;
        std::unique_ptr<process_record> process;
        // The greatest version that this host has activated, including before restarts.
        core::config_version greatestActivated;
        std::optional<refusal_reason> refusal;

        core::endpoint address() const
        {
            return hostAddress(dataCentre, index);
        }
    };

    static core::endpoint sourceAddress(unsigned index)
    {
        return core::endpoint{"source-" + std::to_string(index)};
    }

    static core::endpoint hostAddress(unsigned dataCentre, unsigned host)
    {
        return core::endpoint{"dc" + std::to_string(dataCentre) + "-host" + std::to_string(host)};
    }

    core::monotonic_time now() const
    {
        return core::monotonic_time(std::chrono::hours(1) + m_now);
    }

    void start(std::size_t index)
    {
        host_record &host = m_hosts[index];
        settings_builder builder;
        builder.ownHost(host.address().value)
            .dataCentre("dc" + std::to_string(host.dataCentre))
            .ownEndpoint(host.address().value)
            .incarnation(++m_incarnations);
        for (unsigned candidate = 0; candidate < host.hostsInDataCentre; ++candidate) {
            builder.addRelayCandidate(hostAddress(host.dataCentre, candidate).value);
        }
        for (unsigned source = 0; source < sourceCount; ++source) {
            builder.addSource(sourceAddress(source).value);
        }
        host.process = std::make_unique<process_record>(core::valueIn(builder.build()), m_engine);
        host.refusal.reset();
    }

    void tickAll()
    {
        for (host_record &host : m_hosts) {
            if (host.process == nullptr) {
                continue;
            }
            run(host.address(), host.process->agent.tick(now()));
            if (host.process->localRelay != nullptr) {
                run(host.address(), host.process->localRelay->tick(now()));
            }
        }
    }

    host_record *hostOf(const core::endpoint &address)
    {
        const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto &host) {
            return host.address() == address;
        });
        return found == m_hosts.end() ? nullptr : &*found;
    }

    void deliver(const test::message_network<message>::delivery &arrived)
    {
        for (unsigned index = 0; index < sourceCount; ++index) {
            if (arrived.to == sourceAddress(index)) {
                run(arrived.to, m_sources[index].handle(arrived.from, arrived.body, now()));
            }
        }
        host_record *host = hostOf(arrived.to);
        if (host == nullptr || host->process == nullptr) {
            return;
        }
        run(arrived.to, host->process->agent.handle(arrived.from, arrived.body, now()));
        if (host->process->localRelay != nullptr) {
            run(arrived.to, host->process->localRelay->handle(arrived.from, arrived.body, now()));
        }
    }

    void run(const core::endpoint &self, const effects &wanted)
    {
        for (const effect &each : wanted) {
            std::visit([&](const auto &body) { perform(self, body); }, each);
        }
    }

    void perform(const core::endpoint &self, const send_message &wanted)
    {
        network.send(self, wanted.peer, wanted.body, now());
    }

    void perform(const core::endpoint &self, const hold_configuration &held)
    {
        host_record *host = hostOf(self);
        if (host->process->localRelay != nullptr) {
            run(self, host->process->localRelay->hold(held.version, held.resources, now()));
        }
    }

    void perform(const core::endpoint &self, const activate_configuration &wanted)
    {
        host_record *host = hostOf(self);
        const document::configuration &active = *wanted.activated;
        host->refusal.reset();
        if (active.version < host->greatestActivated) {
            violations.push_back(self.value + " went back to " + core::toString(active.version));
        }
        host->greatestActivated = std::max(host->greatestActivated, active.version);
        const auto committed = m_documents.find(active.version);
        if (committed == m_documents.end()
            || active.services.size() + active.routes.size() != committed->second->size()) {
            violations.push_back(self.value + " activated a version that was never committed");
        }
        for (const document::route &route : active.routes) {
            if (active.findService(route.service) == nullptr) {
                violations.push_back(self.value + " has a route without its service");
            }
        }
    }

    void perform(const core::endpoint &self, const refuse_service &refusal)
    {
        hostOf(self)->refusal = refusal.reason;
    }

    void perform(const core::endpoint &self, const confirm_read &read)
    {
        for (unsigned index = 0; index < sourceCount; ++index) {
            if (self != sourceAddress(index)) {
                continue;
            }
            core::result<core::config_version> outcome = m_committed;
            // The first source is always the leader.
            if (index != 0 || !leaderHoldsLease) {
                outcome = core::error{core::error_code::NotLeader, "confirm-read", "", "no lease"};
            }
            run(self, m_sources[index].completeRead(read.readId, outcome));
        }
    }

    void perform(const core::endpoint &, const report_error &)
    {
    }

    void perform(const core::endpoint &, const log_event &)
    {
    }

    core::random_engine m_engine;

public:
    test::message_network<message> network;

private:
    std::vector<publisher> m_sources;
    std::vector<host_record> m_hosts;
    std::map<core::config_version, std::shared_ptr<const document::resource_map>> m_documents;
    core::config_version m_committed;
    unsigned m_revision = 0;
    std::uint64_t m_incarnations = 0;
    std::chrono::milliseconds m_now{0};
};

} // namespace jackdawweir::distribution
