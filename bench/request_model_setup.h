// Set-up of request_model: servers, nodes, ledger replicas, arrivals and the partition.

#pragma once

#include <utility>

#include <absl/strings/str_cat.h>

#include "bench/request_model.h"

namespace jackdawweir::bench {

inline request_model::request_model(model_settings settings)
    : m_settings(std::move(settings))
    , m_engine(m_settings.seed)
    , m_end(m_now + m_settings.length)
{
    m_result.routes.resize(m_settings.sizes.routes.size());
    for (std::size_t service = 0; service < m_settings.sizes.serversOfService.size(); ++service) {
        m_configuration.services.push_back(
            document::service{core::service_name{absl::StrCat("service-", service)},
                              {{core::version_name{"v1"}, 100}}});
    }
    addServers();
    addNodes();
    addReplicas();
    scheduleArrivals();
}

inline void request_model::addServers()
{
    for (std::size_t service = 0; service < m_settings.sizes.serversOfService.size(); ++service) {
        for (int count = 0; count < m_settings.sizes.serversOfService[service]; ++count) {
            server added;
            const auto number = m_servers.size();
            added.dataCentre = static_cast<int>(number) % m_settings.sizes.dataCentres;
            added.record.address.value = absl::StrCat("127.0.1.", number, ":80");
            added.record.service = m_configuration.services[service].name;
            added.record.version.value = "v1";
            added.record.dataCentre.value = absl::StrCat("dc", added.dataCentre);
            added.record.incarnation = 1;
            added.record.slots = m_settings.sizes.slots;
            added.record.connections = connectionsOfServer;
            added.record.state = membership::server_state::Ready;
            // The slow server runs at a tenth of its usual speed.
            added.slowdown = m_settings.scenario == "slow" && number == 0 ? 10.0 : 1.0;
            m_servers.push_back(std::move(added));
        }
    }
}

inline void request_model::addNodes()
{
    m_nodes.resize(m_servers.size());
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        node &added = m_nodes[index];
        added.dataCentre = m_servers[index].dataCentre;
        for (std::size_t each = 0; each < m_configuration.services.size(); ++each) {
            added.admissions.push_back(
                std::make_unique<request::admission>(request::admission_settings{}));
        }
        buildSelector(added);
    }
}

inline void request_model::buildSelector(node &built)
{
    std::vector<membership::backend_server> records;
    built.roundRobinServers.assign(m_configuration.services.size(), {});
    built.nextRoundRobinServer.resize(m_configuration.services.size(), m_engine() % 16);
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        if (m_isExcluded && isCut(built.dataCentre, m_servers[index].dataCentre)) {
            continue;
        }
        records.push_back(m_servers[index].record);
        for (std::size_t service = 0; service < m_configuration.services.size(); ++service) {
            if (m_configuration.services[service].name == records.back().service) {
                built.roundRobinServers[service].push_back(static_cast<int>(index));
            }
        }
    }
    request::selector_settings settings;
    settings.ownDataCentre.value = absl::StrCat("dc", built.dataCentre);
    settings.nodeCount = static_cast<std::uint32_t>(m_servers.size());
    built.selector = std::make_unique<request::server_selector>(
        settings,
        request::selector_input{m_configuration, records, {}},
        built.selector.get(),
        m_now);
}

inline void request_model::addReplicas()
{
    for (int index = 0; index < 3; ++index) {
        m_replicaNames.push_back(core::host_name{absl::StrCat("replica-", index)});
    }
    for (int index = 0; index < 3; ++index) {
        ledger::replica_settings settings;
        settings.self = m_replicaNames[static_cast<std::size_t>(index)];
        settings.replicas = m_replicaNames;
        m_replicas.push_back(std::make_unique<ledger::ledger_replica>(
            settings, ledger::journal_start::Created, std::vector<std::string>{}, ledgerNow()));
        performReplica(index, m_replicas.back()->start(ledgerNow()));
    }
}

inline void request_model::scheduleArrivals()
{
    const auto seconds = std::chrono::duration<double>(meanServiceTime).count();
    for (std::size_t index = 0; index < m_settings.sizes.routes.size(); ++index) {
        const route_spec &spec = m_settings.sizes.routes[index];
        const int servers
            = m_settings.sizes.serversOfService[static_cast<std::size_t>(spec.service)];
        const double capacity = servers * m_settings.sizes.slots / seconds;
        scheduleArrival(
            static_cast<int>(index), capacity * m_settings.load * spec.trafficShare, false);
        if (m_settings.scenario == "noisy" && index == 0) {
            scheduleArrival(0, capacity * 3.0, true);
        }
    }
    if (m_settings.scenario == "partition") {
        after(m_settings.length / 3, [this] { startPartition(); });
        after(m_settings.length * 2 / 3, [this] { endPartition(); });
    }
}

inline void request_model::scheduleArrival(int route, double ratePerSecond, bool isFlood)
{
    const nanoseconds mean(static_cast<std::int64_t>(1e9 / ratePerSecond));
    after(drawExponential(mean), [this, route, ratePerSecond, isFlood] {
        if (m_now >= m_end) {
            return;
        }
        auto activeCall = std::make_shared<call>();
        activeCall->route = route;
        activeCall->isFlood = isFlood;
        activeCall->keyNumber = m_keys.size();
        m_keys.push_back(key_state{});
        const bool isNonIdempotent
            = specOf(*activeCall).kind == document::request_kind::NonIdempotent;
        m_keys.back().isNonIdempotent = isNonIdempotent;
        if (isNonIdempotent) {
            activeCall->key = ledger::newKey(ledgerNow().wall, m_engine);
            activeCall->hasCallersKey = m_engine() % 2 == 0;
        }
        arrive(activeCall);
        scheduleArrival(route, ratePerSecond, isFlood);
    });
}

// Partitions data centre 0 from the others; membership removes the unreachable servers after 2.5 s.
inline void request_model::startPartition()
{
    m_isPartitioned = true;
    after(std::chrono::milliseconds(2500), [this] {
        m_isExcluded = true;
        for (node &each : m_nodes) {
            buildSelector(each);
        }
    });
}

inline void request_model::endPartition()
{
    m_isPartitioned = false;
    after(std::chrono::milliseconds(500), [this] {
        m_isExcluded = false;
        for (node &each : m_nodes) {
            buildSelector(each);
        }
    });
}

inline bool request_model::isCut(int left, int right) const
{
    return m_isPartitioned && left != right && (left == 0 || right == 0);
}

inline nanoseconds request_model::delayBetween(int left, int right) const
{
    constexpr std::chrono::microseconds intraDataCentreDelay{100};
    return left == right ? intraDataCentreDelay : m_settings.sizes.interDataCentreDelay;
}

inline nanoseconds request_model::drawExponential(nanoseconds mean)
{
    const double drawn = std::exponential_distribution<double>(1.0)(m_engine);
    return nanoseconds(static_cast<std::int64_t>(drawn * static_cast<double>(mean.count())));
}

inline void request_model::after(nanoseconds delay, std::function<void()> action)
{
    m_events.push(event{m_now + delay, ++m_order, std::move(action)});
}

inline ledger::ledger_time request_model::ledgerNow() const
{
    return ledger::ledger_time{
        m_now, core::wall_time(std::chrono::seconds(1'800'000'000)) + m_now.time_since_epoch()};
}

} // namespace jackdawweir::bench
