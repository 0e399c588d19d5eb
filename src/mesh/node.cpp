#include "jackdawweir/mesh/node.h"

#include <random>
#include <utility>

#include "jackdawweir/http/status.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// Reports to the sources; a host is removed from their directories after several missed ones.
constexpr milliseconds reportInterval{400};

// The same until the first view: callers are refused until then, and the sources may start later.
constexpr milliseconds startupReportInterval{100};

// The step of deadlines, queue times and silence of peers.
constexpr milliseconds tickInterval{20};

// How often the servers and sources that fell silent are looked for.
constexpr milliseconds expiryInterval{200};

// Told to callers of a node that ends: it may be back after this.
constexpr milliseconds restartRetryAfter{300};

// A source answers within a few milliseconds, and thousands of routes take a node's part of a core
// a few hundred; after this another source is asked.
constexpr milliseconds viewTimeout{500};

// A connection on the own host is open within a millisecond, or the server is not there.
constexpr milliseconds localConnectTimeout{400};

forwarding::dispatcher_settings dispatcherSettings(const mesh_settings &read)
{
    forwarding::dispatcher_settings settings;
    settings.choice.ownHost = read.host;
    settings.choice.ownDataCentre = read.dataCentre;
    settings.retries.ratio = read.retryRatio;
    settings.retries.allowance = read.retryAllowance;
    settings.retries.window = read.retryWindow;
    settings.ownService = read.node->service;
    return settings;
}

forwarding::gateway_settings gatewaySettings(const mesh_settings &read,
                                             const forwarding::header_names &headers)
{
    forwarding::gateway_settings settings;
    settings.headers = headers;
    settings.client.connectTimeout = localConnectTimeout;
    // Less than half of the drain time, so that a request that waits at the gate starts in time.
    constexpr int drainParts = 3;
    settings.acceptWhileDraining = read.drainTime / drainParts;
    return settings;
}

} // namespace

node::node(process &shared, const forwarding::header_names &headers)
    : m_process(shared)
    , m_engine(std::random_device()())
    , m_transport(shared.loop,
                  shared.settings.mesh,
                  shared.clock,
                  shared.hybridClock,
                  [this](const transport::received_message &received) { dispatch(received); })
    , m_gateway(shared.loop,
                gatewaySettings(shared.settings, headers),
                shared.clock,
                forwarding::gateway_hooks{[this](const core::endpoint &peer,
                                                 const std::string &requestId,
                                                 const forwarding::forward_answer &answer) {
                                              recordServed(peer, requestId, answer);
                                              send(peer, answer);
                                          },
                                          [this] { reportSoon(); },
                                          [this](const forwarding::leaving_request &started) {
                                              recordLeaving(started);
                                          }})
    , m_dispatcher(dispatcherSettings(shared.settings),
                   forwarding::dispatcher_hooks{
                       [this](const core::endpoint &peer, const forwarding::message &sent) {
                           return send(peer, sent);
                       },
                       [this](const core::endpoint &peer) { m_transport.closeLink(peer); },
                       [this](const core::endpoint &peer, bool isReachable) {
                           m_process.record(
                               m_process.event(isReachable ? "peer-regained" : "peer-lost")
                                   .peer(peer.value)
                                   .step("forward")
                                   .build());
                       }},
                   core::random_engine(m_engine()))
{
}

core::status node::start()
{
    core::status started = m_transport.start();
    if (core::errorIn(started) != nullptr) {
        return started;
    }
    m_transport.onLinkLost(
        [this](const core::endpoint &peer, bool wasConnected) { linkLost(peer, wasConnected); });
    applySettings();
    m_process.every(reportInterval, [this] { report(); });
    m_process.every(startupReportInterval, [this] {
        if (m_dispatcher.revision() == 0) {
            report();
        }
    });
    m_process.every(tickInterval, [this] {
        m_dispatcher.tick(m_process.now());
        m_gateway.tick(m_process.now());
        fetchView();
    });
    m_process.every(expiryInterval, [this] {
        if (m_servers.expire(m_process.now())) {
            updateServers();
        }
        if (m_fleet.refresh(m_process.now())) {
            updateHosts();
        }
        const bool hears = m_fleet.hasReachableSource(m_process.now());
        if (std::exchange(m_hearsSource, hears) != hears) {
            m_process.record(m_process.event(hears ? "sources-regained" : "sources-lost")
                                 .step("report")
                                 .field("revision", std::to_string(m_dispatcher.revision()))
                                 .build());
        }
    });
    m_process.every(process::countsInterval, [this] {
        m_process.recordTraffic(m_transport);
        recordSuppressedLines();
    });
    report();
    return core::okStatus();
}

void node::applySettings()
{
    m_fleet.setConfigured(m_process.settings.sources);
    m_dispatcher.setOwnService(m_process.settings.node->service);
}

void node::dispatch(const transport::received_message &received)
{
    if (received.target == wire::channel::Fleet) {
        const auto decoded = m_process.decode<fleet::message>(received);
        if (decoded && std::holds_alternative<fleet::source_update>(*decoded)) {
            take(received.from, std::get<fleet::source_update>(*decoded));
        }
    } else if (auto decoded = m_process.decode<forwarding::message>(received)) {
        take(received.from, std::move(*decoded));
    }
}

void node::take(const core::endpoint &peer, const fleet::source_update &update)
{
    // Before the view: with the first one, this node begins to serve.
    if (m_servers.restore(update.departed, m_process.now())) {
        updateServers();
    }
    takeView(peer, update);
    if (m_fleet.apply(peer, update, m_process.now())) {
        updateHosts();
    }
    fetchView();
}

void node::takeView(const core::endpoint &peer, const fleet::source_update &update)
{
    if (update.viewChange.empty()) {
        return;
    }
    const core::result<policy::view_change> change
        = policy::decodeViewChange(update.viewChange, peer);
    if (const core::error *failure = core::errorIn(change)) {
        m_process.recordError("view-refused", *failure);
        return;
    }
    const auto *delta = std::get_if<policy::view_delta>(&core::valueIn(change));
    if (delta != nullptr && delta->revision <= m_dispatcher.revision()) {
        // Two sources were asked, and the other one was faster.
        return;
    }
    core::result<policy::policy_view> applied
        = policy::applyChange(m_dispatcher.view(), core::valueIn(change));
    if (const core::error *failure = core::errorIn(applied)) {
        m_process.recordError("view-refused", *failure);
        return;
    }
    policy::policy_view newer = core::valueIn(std::move(applied));
    if (newer.revision <= m_dispatcher.revision()) {
        return;
    }
    m_viewAskedAt.reset();
    const bool isOtherPolicy = newer.policy.number != m_dispatcher.view().policy.number;
    m_dispatcher.setView(std::move(newer));
    const policy::policy_view &held = m_dispatcher.view();
    m_process.record(m_process.event(isOtherPolicy ? "policy-in-force" : "view-in-force")
                         .peer(peer.value)
                         .step("update")
                         .field("policy", std::to_string(held.policy.number))
                         .field("routes", std::to_string(held.policy.routes.size()))
                         .field("revision", std::to_string(held.revision))
                         .build());
}

// Asks one source for the newest view: every source tells of a new revision, and its content is
// needed once.
void node::fetchView()
{
    const core::monotonic_time now = m_process.now();
    if (m_viewAskedAt && now < *m_viewAskedAt + viewTimeout) {
        return;
    }
    const std::optional<core::endpoint> source = m_fleet.newerSource(
        m_dispatcher.revision(), m_process.settings.dataCentre, now, m_engine);
    if (!source) {
        return;
    }
    m_viewAskedAt = now;
    fleet::host_report asking;
    asking.host = ownRecord();
    asking.heldRevision = m_dispatcher.revision();
    asking.rollouts = m_dispatcher.rolloutReports();
    reportTo(*source, asking, true);
}

void node::reportTo(const core::endpoint &source, fleet::host_report &report, bool wantsView)
{
    report.wantsDirectory
        = m_fleet.wantsDirectory(source, m_process.settings.dataCentre, m_process.now());
    const fleet::directory_position held = m_fleet.directoryPosition(source);
    report.directoryEpoch = held.epoch;
    report.directoryNumber = held.number;
    report.wantsView = wantsView;
    m_transport.send(source, wire::channel::Fleet, wire::encode(fleet::message(report)));
}

void node::take(const core::endpoint &peer, forwarding::message received)
{
    const core::monotonic_time now = m_process.now();
    m_dispatcher.heard(peer, now);
    if (auto *forwarded = std::get_if<forwarding::forward_request>(&received)) {
        m_gateway.handle(peer, std::move(*forwarded), now);
    } else if (auto *answer = std::get_if<forwarding::forward_answer>(&received)) {
        m_dispatcher.handle(peer, std::move(*answer), now);
    } else if (const auto *cancelled = std::get_if<forwarding::forward_cancel>(&received)) {
        m_gateway.handle(peer, *cancelled, now);
    } else if (const auto *probe = std::get_if<forwarding::liveness_probe>(&received)) {
        send(peer, forwarding::liveness_reply{probe->number});
    }
}

bool node::send(const core::endpoint &peer, const forwarding::message &sent)
{
    if (peer != m_process.settings.mesh) {
        return m_transport.send(peer, wire::channel::Forwarding, wire::encode(sent));
    }
    boost::asio::post(m_process.loop,
                      [this, peer, own = sent]() mutable { take(peer, std::move(own)); });
    return true;
}

void node::linkLost(const core::endpoint &peer, bool wasConnected)
{
    const core::monotonic_time now = m_process.now();
    m_dispatcher.linkLost(peer, wasConnected, now);
    if (wasConnected) {
        m_gateway.linkLost(peer, now);
    }
}

observe::event_builder node::announcementEvent(const char *name,
                                               const fleet::server_announcement &heard)
{
    return m_process.event(name)
        .step("announce")
        .field("instance", heard.server.instance.value)
        .field("service", heard.server.service.value)
        .field("server-version", heard.server.version.value)
        .field("draining", heard.server.isDraining ? "true" : "false")
        .field("leaving", m_servers.drainingSince(heard.server.instance) ? "true" : "false")
        .field("sequence", std::to_string(heard.sequence))
        .field("started-at-ms", std::to_string(heard.server.startedAt.count()));
}

bool node::announce(const fleet::server_announcement &heard)
{
    const fleet::announcement_verdict verdict = m_servers.announce(heard, m_process.now());
    if (verdict == fleet::announcement_verdict::Outdated) {
        m_process.record(announcementEvent("announcement-outdated", heard).build());
        return !heard.server.isDraining || !m_servers.takesRequests(heard.server.instance);
    }
    if (verdict == fleet::announcement_verdict::Changed) {
        m_process.record(announcementEvent("server-announced", heard).build());
        updateServers();
    }
    m_gateway.noteAnnounced(heard.server.instance);
    return true;
}

void node::withdraw(const fleet::instance_name &instance, std::optional<milliseconds> startedAt)
{
    const auto heardAt
        = std::chrono::duration_cast<milliseconds>(m_process.clock.wallNow().time_since_epoch());
    const bool isKnown = m_servers.withdraw(fleet::server_withdrawal{instance, startedAt, heardAt},
                                            m_process.now());
    m_process.record(
        m_process.event("server-withdrawn")
            .step("withdraw")
            .field("instance", instance.value)
            .field("known", isKnown ? "true" : "false")
            .field("started-at-ms", startedAt ? std::to_string(startedAt->count()) : "unknown")
            .build());
    if (isKnown) {
        updateServers();
    }
}

void node::recordRefusedCall(const char *step, const core::error &failure)
{
    m_process.record(m_process.event("call-refused").failure(failure).step(step).build());
}

void node::updateServers()
{
    std::vector<forwarding::gated_server> gated;
    for (fleet::server_record &each : m_servers.records(m_process.now())) {
        const auto since = m_servers.drainingSince(each.instance);
        gated.push_back(forwarding::gated_server{std::move(each), since});
    }
    m_gateway.setServers(gated);
    reportSoon();
}

std::uint64_t node::begin(forwarding::caller_request request, forwarding::answer_handler handler)
{
    const std::string id = request.id;
    if (m_refusesCallers) {
        forwarding::caller_answer refused;
        refused.outcome = forwarding::caller_outcome::NotRun;
        refused.reason = forwarding::forward_reason::Draining;
        refused.retryAfter = restartRetryAfter;
        recordAnswer(id, refused);
        handler(refused);
        return 0;
    }
    return m_dispatcher.begin(
        std::move(request),
        [this, id, handler = std::move(handler)](const forwarding::caller_answer &answer) {
            recordAnswer(id, answer);
            handler(answer);
        },
        m_process.now());
}

void node::cancel(std::uint64_t number)
{
    m_dispatcher.cancel(number);
}

bool node::isReady() const
{
    return !m_isLeaving && m_dispatcher.revision() > 0 && m_dispatcher.view().policy.number > 0;
}

std::uint64_t node::revision() const
{
    return m_dispatcher.revision();
}

const policy::caller_limits &node::limits() const
{
    return m_dispatcher.view().policy.limits;
}

void node::refuseCallers()
{
    m_refusesCallers = true;
}

std::size_t node::openRequests() const
{
    return m_dispatcher.openRequests() + m_gateway.openRequests();
}

void node::beginLeaving()
{
    m_isLeaving = true;
    m_gateway.beginLeaving(m_process.now());
    report();
}

fleet::host_record node::ownRecord()
{
    fleet::host_record own;
    own.host = m_process.settings.host;
    own.dataCentre = m_process.settings.dataCentre;
    own.endpoint = m_process.settings.mesh;
    own.incarnation = m_process.incarnation;
    own.sequence = ++m_sequence;
    own.isLeaving = m_isLeaving;
    for (const fleet::server_record &each : m_servers.records(m_process.now())) {
        if (m_gateway.isPresent(each.instance)) {
            own.servers.push_back(each);
        }
    }
    return own;
}

void node::report()
{
    fleet::host_report sent;
    sent.host = ownRecord();
    sent.heldRevision = m_dispatcher.revision();
    sent.rollouts = m_dispatcher.rolloutReports();
    sent.departed = m_servers.departed(m_process.now());
    for (const core::endpoint &source : m_fleet.sources()) {
        reportTo(source, sent, false);
    }
}

void node::reportSoon()
{
    if (std::exchange(m_isReportPosted, true)) {
        return;
    }
    boost::asio::post(m_process.loop, [this] {
        m_isReportPosted = false;
        report();
    });
}

void node::updateHosts()
{
    m_dispatcher.setHosts(m_fleet.hosts(m_process.now()), m_process.now());
}

void node::measure()
{
    const std::size_t waiting = m_gateway.waitingRequests();
    m_process.counted.setLoad(static_cast<std::uint32_t>(m_gateway.openRequests() - waiting),
                              static_cast<std::uint32_t>(waiting));
    m_process.counted.setRevision(m_dispatcher.revision(), m_dispatcher.view().policy.number);
}

void node::recordSuppressedLines()
{
    const std::uint64_t common = m_commonLines.takeSuppressed();
    const std::uint64_t others = m_otherLines.takeSuppressed();
    if (common + others > 0) {
        m_process.record(m_process.event("lines-suppressed")
                             .step("log")
                             .field("served", std::to_string(common))
                             .field("others", std::to_string(others))
                             .build());
    }
}

void node::recordAnswer(const std::string &requestId, const forwarding::caller_answer &answer)
{
    m_process.counted.countAnswer(answer.outcome, answer.reason, answer.elapsed);
    const bool isCommon = answer.outcome == forwarding::caller_outcome::Answered
        && !http::status::isServerError(answer.response.status) && answer.attempts <= 1
        && answer.refusals == 0;
    observe::line_budget &budget = isCommon ? m_commonLines : m_otherLines;
    if (!budget.tryTake(m_process.now())) {
        return;
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(answer.elapsed);
    m_process.record(m_process.event("request-ended")
                         .step("answer")
                         .field("request", requestId)
                         .field("route", answer.route.value)
                         .field("outcome", forwarding::toString(answer.outcome))
                         .field("reason", forwarding::toString(answer.reason))
                         .field("status", std::to_string(answer.response.status))
                         .field("instance", answer.instance.value)
                         .field("attempts", std::to_string(answer.attempts))
                         .field("refusals", std::to_string(answer.refusals))
                         .field("revision", std::to_string(answer.revision))
                         .field("hosts", std::to_string(answer.knownHosts))
                         .field("sources", m_hearsSource ? "heard" : "silent")
                         .field("retry-after-ms", std::to_string(answer.retryAfter.count()))
                         .field("elapsed-us", std::to_string(micros.count()))
                         .build());
}

void node::recordLeaving(const forwarding::leaving_request &started)
{
    m_process.counted.countLeaving();
    if (!m_otherLines.tryTake(m_process.now())) {
        return;
    }
    m_process.record(m_process.event("request-to-leaving-server")
                         .peer(started.peer.value)
                         .step("gate")
                         .field("request", started.requestId)
                         .field("instance", started.instance.value)
                         .field("leaving-ms", std::to_string(started.leavingFor.count()))
                         .build());
}

void node::recordServed(const core::endpoint &peer,
                        const std::string &requestId,
                        const forwarding::forward_answer &answer)
{
    m_process.counted.countServed(answer.outcome, answer.reason);
    const bool isAnswered = answer.outcome == forwarding::forward_outcome::Answered;
    if (isAnswered || !m_otherLines.tryTake(m_process.now())) {
        return;
    }
    const auto retryAfter = std::chrono::duration_cast<milliseconds>(answer.retryAfter);
    m_process.record(m_process.event("request-not-served")
                         .peer(peer.value)
                         .step("gate")
                         .field("request", requestId)
                         .field("outcome", forwarding::toString(answer.outcome))
                         .field("reason", forwarding::toString(answer.reason))
                         .field("offered", answer.wasOffered ? "true" : "false")
                         .field("running", std::to_string(answer.load.running))
                         .field("waiting", std::to_string(answer.load.waiting))
                         .field("slots", std::to_string(answer.load.slots))
                         .field("pace-us", std::to_string(answer.load.pace.count()))
                         .field("retry-after-ms", std::to_string(retryAfter.count()))
                         .build());
}

} // namespace jackdawweir::mesh
