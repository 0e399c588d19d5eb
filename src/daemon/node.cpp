#include "daemon/node.h"

#include <algorithm>
#include <future>
#include <map>
#include <set>
#include <utility>

#include "daemon/mesh_bytes.h"
#include "daemon/mesh_dispatch.h"
#include "jackdawweir/distribution/rendezvous.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

constexpr std::chrono::milliseconds loopTick{50};
static_assert(loopTick == distribution::tickInterval && loopTick == membership::tickInterval);

// Time for the leave message to reach the nodes of callers before the port closes.
constexpr std::chrono::milliseconds leavePropagationDelay{200};

distribution::settings_builder
distributionSettings(const process_context &context,
                     const settings::data_centre_settings &localDataCentre)
{
    const settings::daemon_settings &daemonSettings = context.settings;
    distribution::settings_builder builder;
    builder.ownHost(daemonSettings.host.value)
        .dataCentre(daemonSettings.dataCentre.value)
        .ownEndpoint(daemonSettings.mesh.value)
        .incarnation(context.incarnation);
    for (const core::endpoint &candidate : localDataCentre.relayCandidates) {
        builder.addRelayCandidate(candidate.value);
    }
    for (const core::endpoint &source : daemonSettings.sources) {
        builder.addSource(source.value);
    }
    return builder;
}

core::result<membership::membership_settings>
membershipSettings(const process_context &context, const std::vector<core::endpoint> &relays)
{
    const settings::daemon_settings &daemonSettings = context.settings;
    membership::settings_builder builder;
    builder.ownHost(daemonSettings.host.value)
        .dataCentre(daemonSettings.dataCentre.value)
        .ownEndpoint(daemonSettings.mesh.value)
        .incarnation(context.incarnation);
    for (const core::endpoint &relay : relays) {
        builder.addRelay(relay.value);
    }
    for (const settings::data_centre_settings &remote : daemonSettings.dataCentres) {
        if (remote.name == daemonSettings.dataCentre) {
            continue;
        }
        const std::vector<core::endpoint> chosen = distribution::rankByRendezvous(
            daemonSettings.host.value,
            distribution::chooseRelays(remote.name, remote.relayCandidates));
        for (const core::endpoint &relay : chosen) {
            builder.addRemoteRelay(remote.name.value, relay.value);
        }
    }
    return builder.build();
}

std::size_t countHosts(const settings::daemon_settings &daemonSettings)
{
    std::size_t hosts = 0;
    for (const settings::data_centre_settings &each : daemonSettings.dataCentres) {
        hosts += each.relayCandidates.size();
    }
    return std::max<std::size_t>(hosts, 1);
}

} // namespace

node::node(process_context &context)
    : m_context(context)
    , m_transport(m_loop.context(),
                  context.settings.mesh,
                  context.clock,
                  context.hybridClock,
                  [this](const transport::received_message &received) { dispatch(received); })
    , m_ledger(context,
               m_loop,
               [this](const core::endpoint &peer,
                      wire::channel target,
                      const std::string &payload) { send(peer, target, payload); })
{
}

node::~node()
{
    m_listener.reset();
    m_loop.stop();
}

core::status node::createComponents()
{
    const settings::daemon_settings &daemonSettings = m_context.settings;
    const settings::data_centre_settings *localDataCentre
        = daemonSettings.findDataCentre(daemonSettings.dataCentre);
    if (localDataCentre == nullptr) {
        return core::error{core::error_code::InvalidArgument,
                           "start-node",
                           "",
                           "data-centre is not listed in data-centres"};
    }
    core::result<distribution::distribution_settings> distributionResult
        = distributionSettings(m_context, *localDataCentre).build();
    if (const core::error *failure = core::errorIn(distributionResult)) {
        return *failure;
    }
    const distribution::distribution_settings &agentSettings = core::valueIn(distributionResult);
    const std::vector<core::endpoint> relays
        = distribution::rankByRendezvous(daemonSettings.host.value, agentSettings.relays);
    const core::result<membership::membership_settings> membershipResult
        = membershipSettings(m_context, relays);
    if (const core::error *failure = core::errorIn(membershipResult)) {
        return *failure;
    }
    const mesh_send sender
        = [this](const core::endpoint &peer, wire::channel target, const std::string &payload) {
              send(peer, target, payload);
          };
    m_status.isRelay = agentSettings.isRelay();
    m_distribution.emplace(
        m_context,
        agentSettings,
        sender,
        distribution_observer{[this](const auto &activated) { activate(activated); },
                              [this](const std::string &reason) {
                                  refuse(reason);
                              }});
    m_membership.emplace(
        m_context, core::valueIn(membershipResult), agentSettings.isRelay(), sender, [this] {
            rebuildRouting();
        });
    m_moves.emplace(
        m_context,
        moves_topology{
            relays, daemonSettings.sources, agentSettings.isRelay(), countHosts(daemonSettings)},
        sender,
        [this] { rebuildRouting(); });
    m_sources.emplace(daemonSettings.sources, sender);
    return core::okStatus();
}

core::status node::start()
{
    core::status built = createComponents();
    if (core::errorIn(built) != nullptr) {
        return built;
    }
    core::status listening = m_transport.start();
    if (core::errorIn(listening) != nullptr) {
        return listening;
    }
    m_requestHandler.emplace(
        m_routing,
        m_ledger,
        m_context.metrics,
        [this](const proxy::attempt_record &finished) { m_moves->observe(finished); },
        m_context.clock);
    m_listener.emplace(m_context.settings.callers, [this](const proxy::http_request &received) {
        return m_requestHandler->handle(received);
    });
    core::status accepting = m_listener->start();
    if (core::errorIn(accepting) != nullptr) {
        return accepting;
    }
    m_loop.every(loopTick, [this] { tick(); });
    m_loop.every(moves::evidenceInterval,
                 [this] { m_moves->tick(m_context.clock.monotonicNow()); });
    m_loop.start();
    return core::okStatus();
}

void node::send(const core::endpoint &peer, wire::channel target, const std::string &payload)
{
    if (peer != m_context.settings.mesh) {
        m_transport.send(peer, target, payload);
        return;
    }
    // A message to this node is posted, not dispatched directly, so that the sending state machine
    // completes its current step first.
    m_loop.post([this, received = transport::received_message{peer, target, payload}] {
        dispatch(received);
    });
}

void node::dispatch(const transport::received_message &received)
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    switch (received.target) {
    case wire::channel::Distribution:
        decodeAndHandle<distribution::message>(m_context, received, [&](const auto &message) {
            m_distribution->handle(received.from, message, now);
        });
        break;
    case wire::channel::Membership:
        decodeAndHandle<membership::message>(m_context, received, [&](const auto &message) {
            m_membership->handle(received.from, message, now);
        });
        break;
    case wire::channel::Moves:
        decodeAndHandle<moves::message>(m_context, received, [&](const auto &message) {
            m_moves->handle(received.from, message, now);
        });
        break;
    case wire::channel::Ledger:
        decodeAndHandle<ledger::ledger_message>(m_context, received, [&](const auto &message) {
            m_ledger.handle(received.from, message, now);
        });
        break;
    case wire::channel::Control:
        decodeAndHandle<control_message>(m_context, received, [&](const auto &message) {
            handleControl(received.from, message);
        });
        break;
    case wire::channel::Agreement:
    case wire::channel::Fleet:
    case wire::channel::Forwarding:
        break;
    }
}

void node::handleControl(const core::endpoint &peer, const control_message &received)
{
    if (const auto *redirect = std::get_if<not_leader>(&received)) {
        m_moves->setLeader(redirect->leader);
    }
    m_sources->handle(peer, received, m_context.clock.monotonicNow());
}

void node::tick()
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    m_distribution->tick(now);
    m_membership->tick(now);
    m_ledger.tick(now);
    m_sources->tick(now);
    exportMeshBytes(m_transport, m_context.metrics, m_exportedBytes);
}

void node::activate(const std::shared_ptr<const document::configuration> &activated)
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    m_active = activated;
    m_routes = std::make_shared<const request::route_table>(*activated);
    m_status.inForce = activated->version;
    m_status.refusal.clear();
    for (const document::service &each : activated->services) {
        std::shared_ptr<proxy::service_counters> &counters = m_counters[each.name];
        if (counters == nullptr) {
            counters = std::make_shared<proxy::service_counters>();
        }
    }
    m_membership->setServices(activated->services, now);
    m_moves->setConfiguration(*activated, now);
    rebuildRouting();
    m_context.metrics.setVersionInForce(activated->version);
    exportMoveCounts(activated->moves);
    m_context.record(m_context.event("configuration-activated")
                         .step("activate")
                         .version(activated->version)
                         .build());
}

void node::exportMoveCounts(const std::vector<document::move_state> &moves)
{
    std::map<document::move_phase, std::uint64_t> counts{
        {document::move_phase::Running, 0},
        {document::move_phase::Done, 0},
        {document::move_phase::Reverted, 0},
        {document::move_phase::RevertedAfterDone, 0},
    };
    for (const document::move_state &each : moves) {
        ++counts[each.phase];
    }
    for (const auto &[phase, count] : counts) {
        m_context.metrics.setMoves(phase, count);
    }
}

void node::refuse(const std::string &reason)
{
    if (m_status.refusal == reason) {
        return;
    }
    m_status.refusal = reason;
    const auto state = std::make_shared<proxy::routing_state>();
    state->refusal = reason;
    m_routing.store(state);
    m_context.record(m_context.event("service-refused")
                         .level(observe::log_level::Warning)
                         .step("activate")
                         .field("reason", reason)
                         .build());
}

void node::rebuildRouting()
{
    if (m_active == nullptr) {
        return;
    }
    const core::monotonic_time now = m_context.clock.monotonicNow();
    const std::vector<membership::backend_server> servers
        = m_membership->eligible(m_active->services, now);
    std::set<core::host_name> hosts;
    for (const membership::backend_server &each : servers) {
        hosts.insert(each.host);
    }
    request::selector_settings settings;
    settings.ownDataCentre = m_context.settings.dataCentre;
    settings.nodeCount = static_cast<std::uint32_t>(std::max<std::size_t>(hosts.size(), 1));
    const std::set<request::excluded_version> excluded = m_moves->blockedVersions();
    m_selector = std::make_shared<const request::server_selector>(
        settings, request::selector_input{*m_active, servers, excluded}, m_selector.get(), now);
    m_status.serverCount = servers.size();
    const auto state = std::make_shared<proxy::routing_state>();
    state->version = m_active->version;
    state->routes = m_routes;
    state->selector = m_selector;
    state->services = m_counters;
    m_routing.store(state);
}

node_status node::status()
{
    return m_loop.call([this] {
        node_status copied = m_status;
        copied.isServing = m_active != nullptr && m_status.refusal.empty();
        copied.isDraining = m_isDraining;
        return copied;
    });
}

core::status node::announce(const membership::backend_server &announced)
{
    return m_loop.call([this, &announced] {
        return m_membership->announce(announced, m_context.clock.monotonicNow());
    });
}

void node::withdraw(const core::endpoint &address, std::uint64_t incarnation)
{
    m_loop.call([this, &address, incarnation] {
        m_membership->withdraw(address, incarnation, m_context.clock.monotonicNow());
    });
}

core::result<source::submission_result> node::submit(submit_request request)
{
    std::promise<core::result<source::submission_result>> decided;
    m_loop.post([this, &decided, submitted = std::move(request)] {
        m_sources->submit(
            submitted,
            [&decided](const auto &outcome) { decided.set_value(outcome); },
            m_context.clock.monotonicNow());
    });
    return decided.get_future().get();
}

core::result<state_reply> node::requestState()
{
    std::promise<core::result<state_reply>> answered;
    m_loop.post([this, &answered] {
        m_sources->requestState([&answered](const auto &state) { answered.set_value(state); },
                                m_context.clock.monotonicNow());
    });
    return answered.get_future().get();
}

std::size_t node::requestsInFlight() const
{
    return m_listener ? m_listener->requestsInFlight() : 0;
}

std::size_t node::shutDown()
{
    m_isDraining = true;
    m_loop.call([this] { m_membership->leave(m_context.clock.monotonicNow()); });
    std::this_thread::sleep_for(leavePropagationDelay);
    const std::size_t cut = m_listener->shutDown(m_context.settings.limits.shutdownTimeout);
    m_loop.call([this] { m_transport.stop(); });
    m_loop.stop();
    return cut;
}

} // namespace jackdawweir::daemon
