#include "daemon/node_moves.h"

#include <utility>
#include <variant>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

// The capacity of the queue of attempts that wait for the loop. At 5,000 calls a second it holds
// the attempts of more than one second.
constexpr std::size_t attemptQueueCapacity = 8192;

constexpr std::chrono::milliseconds resendInterval{500};

// An uplink without an acknowledgement for this long switches to the next peer.
constexpr std::chrono::milliseconds uplinkTimeout{2000};

// Returns nothing for an attempt that is no evidence for or against a version.
std::optional<moves::fault_origin> originOf(const request::attempt_outcome &ended)
{
    switch (ended.origin) {
    case request::failure_origin::None:
        return ended.outcome == request::request_outcome::Done
            ? std::optional(moves::fault_origin::None)
            : std::nullopt;
    case request::failure_origin::Server: {
        const bool isDefect = ended.fault == request::attempt_fault::Crossed
            || ended.fault == request::attempt_fault::Truncated;
        return isDefect ? moves::fault_origin::Defect : moves::fault_origin::Server;
    }
    case request::failure_origin::FurtherDown:
        return moves::fault_origin::Downstream;
    case request::failure_origin::Overload:
        return moves::fault_origin::Overload;
    case request::failure_origin::ColdStart:
        return moves::fault_origin::ColdStart;
    case request::failure_origin::Draining:
    case request::failure_origin::Caller:
        return std::nullopt;
    }
    return std::nullopt;
}

// Returns the sender name of a relay's reports. It differs from that of the node on the same host
// so that the acknowledgements of the two can be distinguished.
core::host_name relaySenderName(const core::host_name &host)
{
    return core::host_name{host.value + "/relay"};
}

moves::breaker_settings breakerSettings(const process_context &context, std::size_t count)
{
    moves::breaker_settings settings;
    settings.self = context.settings.host;
    settings.dataCentre = context.settings.dataCentre;
    settings.comparison = moves::breakerComparison(count);
    return settings;
}

} // namespace

node_moves::node_moves(process_context &context,
                       moves_topology topology,
                       mesh_send send,
                       std::function<void()> changed)
    : m_context(context)
    , m_topology(std::move(topology))
    , m_send(std::move(send))
    , m_changed(std::move(changed))
    , m_attempts(attemptQueueCapacity)
    , m_breaker(breakerSettings(context, m_topology.nodeCount))
    , m_uplink(context.settings.host, context.incarnation, resendInterval)
    , m_relayBreaker(breakerSettings(context, m_topology.nodeCount))
    , m_relayUplink(relaySenderName(context.settings.host), context.incarnation, resendInterval)
{
}

node_moves::~node_moves()
{
    proxy::attempt_record *remaining = nullptr;
    while (m_attempts.pop(remaining)) {
        delete remaining;
    }
}

void node_moves::observe(const proxy::attempt_record &finished)
{
    auto queued = std::make_unique<proxy::attempt_record>(finished);
    if (m_attempts.bounded_push(queued.get())) {
        static_cast<void>(queued.release());
    }
}

void node_moves::recordQueuedAttempts()
{
    proxy::attempt_record *next = nullptr;
    while (m_attempts.pop(next)) {
        const std::unique_ptr<proxy::attempt_record> finished(next);
        const auto found = m_moves.find(finished->service);
        const std::optional<moves::fault_origin> origin = originOf(finished->attemptOutcome);
        if (found == m_moves.end() || !origin) {
            continue;
        }
        m_recorder.record(
            {finished->service, finished->version, finished->route, finished->dataCentre},
            {*origin, finished->latency, finished->isColdServer});
    }
}

void node_moves::setConfiguration(const document::configuration &active, core::monotonic_time now)
{
    m_now = now;
    m_moves.clear();
    for (const document::move_state &each : active.moves) {
        m_moves[each.request.service] = each;
    }
    const moves::committed_moves committed{active.version, active.moves};
    updateNodeBreaker(committed);
    if (m_topology.isRelay) {
        updateRelayBreaker(committed);
    }
}

void node_moves::handle(const core::endpoint &peer,
                        const moves::message &received,
                        core::monotonic_time now)
{
    m_now = now;
    std::visit([this, &peer](const auto &message) { handleMessage(peer, message); }, received);
}

void node_moves::handleMessage(const core::endpoint &peer, const moves::evidence_report &received)
{
    if (!m_topology.isRelay) {
        return;
    }
    m_reportingNodes.insert(peer);
    sendReport(peer, m_collector.accept(received));
}

void node_moves::handleMessage(const core::endpoint &, const moves::evidence_ack &received)
{
    if (received.sender == m_context.settings.host) {
        m_uplink.handle(received);
        m_unackedSince.reset();
    } else {
        m_relayUplink.handle(received);
        m_relayUnackedSince.reset();
    }
}

void node_moves::handleMessage(const core::endpoint &, const moves::breaker_report &received)
{
    if (m_topology.isRelay) {
        updateRelayBreaker(received);
    }
    updateNodeBreaker(received);
}

void node_moves::tick(core::monotonic_time now)
{
    m_now = now;
    recordQueuedAttempts();
    tickNode(now);
    if (m_topology.isRelay) {
        tickRelay(now);
    }
}

void node_moves::tickNode(core::monotonic_time now)
{
    const moves::evidence_batch batch{m_recorder.takeInterval()};
    if (!batch.cells.empty()) {
        updateNodeBreaker(batch);
        m_uplink.add(batch.cells);
    }
    updateNodeBreaker(moves::breaker_tick{});
    if (m_unackedSince && now - *m_unackedSince > uplinkTimeout) {
        ++m_relayIndex;
        m_uplink.changePeer();
        m_unackedSince.reset();
    }
    if (const auto report = m_uplink.poll(now)) {
        m_unackedSince = m_unackedSince.value_or(now);
        sendReport(m_topology.relays[m_relayIndex % m_topology.relays.size()], *report);
    }
}

void node_moves::tickRelay(core::monotonic_time now)
{
    const moves::evidence_batch summed{m_collector.takeInterval()};
    if (!summed.cells.empty()) {
        updateRelayBreaker(summed);
        m_relayUplink.add(summed.cells);
    }
    updateRelayBreaker(moves::breaker_tick{});
    if (m_relayUnackedSince && now - *m_relayUnackedSince > uplinkTimeout) {
        ++m_sourceIndex;
        m_leader = core::endpoint{};
        m_relayUplink.changePeer();
        m_relayUnackedSince.reset();
    }
    if (const auto report = m_relayUplink.poll(now)) {
        m_relayUnackedSince = m_relayUnackedSince.value_or(now);
        sendReport(m_leader.empty() ? m_topology.sources[m_sourceIndex % m_topology.sources.size()]
                                    : m_leader,
                   *report);
    }
}

void node_moves::setLeader(const core::endpoint &leader)
{
    if (leader != m_leader) {
        m_leader = leader;
        m_relayUplink.changePeer();
    }
}

void node_moves::updateNodeBreaker(const moves::breaker_input &input)
{
    for (const moves::breaker_effect &each : m_breaker.handle(input, m_now)) {
        if (const auto *sent = std::get_if<moves::send_breaker_report>(&each)) {
            for (const core::endpoint &relay : m_topology.relays) {
                sendReport(relay, sent->report);
            }
        } else {
            logChange(std::get<moves::breaker_changed>(each), "node");
            m_changed();
        }
    }
}

void node_moves::updateRelayBreaker(const moves::breaker_input &input)
{
    for (const moves::breaker_effect &each : m_relayBreaker.handle(input, m_now)) {
        if (const auto *sent = std::get_if<moves::send_breaker_report>(&each)) {
            for (const core::endpoint &source : m_topology.sources) {
                sendReport(source, sent->report);
            }
            for (const core::endpoint &node : m_reportingNodes) {
                sendReport(node, sent->report);
            }
        } else {
            logChange(std::get<moves::breaker_changed>(each), "data-centre");
        }
    }
}

void node_moves::sendReport(const core::endpoint &peer, const moves::message &report)
{
    m_send(peer, wire::channel::Moves, wire::encode(report));
}

void node_moves::logChange(const moves::breaker_changed &change, const char *scope)
{
    const char *state = change.state == moves::breaker_state::Open ? "open"
        : change.state == moves::breaker_state::Holding            ? "holding"
                                                                   : "closed";
    m_context.record(m_context.event("circuit-breaker")
                         .step("moves")
                         .field("scope", scope)
                         .field("service", change.service.value)
                         .field("backend-version", change.version.value)
                         .field("state", state)
                         .field("reason", change.reason)
                         .build());
}

std::set<request::excluded_version> node_moves::blockedVersions() const
{
    std::set<request::excluded_version> blocked;
    for (const auto &[service, move] : m_moves) {
        if (m_breaker.isBlocked(service, move.request.to)) {
            blocked.insert({service, move.request.to});
        }
    }
    return blocked;
}

} // namespace jackdawweir::daemon
