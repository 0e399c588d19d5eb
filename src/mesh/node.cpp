#include "jackdawweir/mesh/node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "jackdawweir/core/digest.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// The interval of reports to the sources, which remove a host from their directories after several
// missed reports.
constexpr milliseconds reportInterval{400};

// The interval of reports until the first view arrives, since callers are refused until then and
// the sources may start after the node, and while a rollout's target gets all requests, since
// little time is left to detect a fault.
constexpr milliseconds urgentReportInterval{100};

// How often the list of sources is requested. A source at a new address serves its first nodes soon
// after it has joined the others.
constexpr milliseconds sourceListInterval{2'000};

// How often deadlines, queue times and the liveness of peers are checked.
constexpr milliseconds tickInterval{20};

// How often the node checks for backend servers and sources that have become unreachable.
constexpr milliseconds expiryInterval{200};

// The retry delay sent to callers of a node that is shutting down; it may have restarted by then.
constexpr milliseconds restartRetryAfter{300};

// After this time the view is requested from another source. A source answers within a few
// milliseconds, and a node with part of a core takes a few hundred milliseconds to process a view
// of thousands of routes.
constexpr milliseconds viewRequestTimeout{500};

// A connection on the same host opens within a millisecond if the server is running.
constexpr milliseconds localConnectTimeout{400};

// A deployment with a single source has only one disk to store departures on.
fleet::departure_receipt_settings receiptSettings(const mesh_settings &meshSettings)
{
    fleet::departure_receipt_settings settings;
    settings.copies = std::min(settings.copies, meshSettings.sources.size());
    return settings;
}

fleet::fleet_view_settings fleetSettings(const mesh_settings &meshSettings)
{
    fleet::fleet_view_settings settings;
    settings.spread = core::checksumOf(meshSettings.host.value);
    return settings;
}

forwarding::dispatcher_settings
dispatcherSettings(const mesh_settings &meshSettings,
                   const std::shared_ptr<forwarding::call_graph> &calls)
{
    forwarding::dispatcher_settings settings;
    settings.calls = calls;
    settings.loadBalancing.ownHost = meshSettings.host;
    settings.loadBalancing.ownDataCentre = meshSettings.dataCentre;
    settings.retries.ratio = meshSettings.retryRatio;
    settings.retries.allowance = meshSettings.retryAllowance;
    settings.retries.window = meshSettings.retryWindow;
    settings.ownService = meshSettings.node->service;
    return settings;
}

forwarding::gateway_settings gatewaySettings(const mesh_settings &meshSettings,
                                             const forwarding::header_names &headers,
                                             const std::shared_ptr<forwarding::call_graph> &calls,
                                             std::shared_ptr<core::memory_budget> budget)
{
    forwarding::gateway_settings settings;
    settings.calls = calls;
    settings.headers = headers;
    settings.client.connectTimeout = localConnectTimeout;
    // Less than half of the drain time, so that a request that waits in the queue of a backend
    // server starts before the drain time ends.
    constexpr int drainParts = 3;
    settings.acceptWhileDraining = meshSettings.drainTime / drainParts;
    settings.budget = std::move(budget);
    return settings;
}

quota::quota_settings quotaSettings(const mesh_settings &meshSettings)
{
    quota::quota_settings settings;
    settings.margin = meshSettings.quotaMargin;
    return settings;
}

} // namespace

node::node(process_context &context, const forwarding::header_names &headers)
    : m_context(context)
    , m_engine(std::random_device()())
    , m_transport(context.loop,
                  context.settings.mesh,
                  context.clock,
                  context.hybridClock,
                  [this](const transport::received_message &received) { dispatch(received); })
    , m_fleet(fleetSettings(context.settings))
    , m_departureReceipts(receiptSettings(context.settings))
    , m_gateway(context.loop,
                gatewaySettings(context.settings, headers, m_calls, context.memory),
                context.clock,
                forwarding::gateway_hooks{
                    [this](const core::endpoint &peer,
                           const std::string &requestId,
                           const forwarding::forward_answer &answer) {
                        recordServed(peer, requestId, answer);
                        sendAnswer(peer, answer);
                    },
                    [this] { scheduleReports(); },
                    [this](const forwarding::leaving_request &started) {
                        recordRequestToLeavingServer(started);
                    },
                    [this](const forwarding::stated_change &change) { handleStatement(change); },
                    [this](const forwarding::cold_change &change) {
                        recordColdChange(change);
                        scheduleReports();
                    }})
    , m_dispatcher(dispatcherSettings(context.settings, m_calls),
                   forwarding::dispatcher_hooks{
                       [this](const core::endpoint &peer, const forwarding::message &outgoing) {
                           return send(peer, outgoing);
                       },
                       [this](const core::endpoint &peer) { m_transport.closeLink(peer); },
                       [this](const core::endpoint &peer, forwarding::reachability_change change) {
                           recordReachability(peer, change);
                       }},
                   core::random_engine(m_engine()))
    , m_quota(quotaSettings(context.settings))
    , m_census(quota::quota_settings().rememberHosts)
{
    m_dispatcher.setQuota(m_quota);
}

core::status node::start()
{
    m_transport.setBudget(m_context.memory);
    core::status started
        = m_transport.startAt(m_context.settings.meshListen.value_or(m_context.settings.mesh));
    if (core::errorIn(started) != nullptr) {
        return started;
    }
    m_transport.onLinkLost([this](const transport::lost_link &lost) { linkLost(lost); });
    applySettings();
    m_servers.awaitDepartures(m_context.now());
    m_context.runEvery(reportInterval, [this] { sendReports(); });
    m_context.runEvery(urgentReportInterval, [this] {
        if (m_dispatcher.revision() == 0 || m_dispatcher.isAnyRolloutAtWholeShare()) {
            sendReports();
        }
    });
    m_context.runEvery(tickInterval, [this] {
        m_dispatcher.tick(m_context.now());
        m_gateway.tick(m_context.now());
        m_departureReceipts.expire(m_context.now());
        sendDueNotice();
        reportUsage();
        requestView();
    });
    m_context.runEvery(expiryInterval, [this] {
        if (m_servers.expire(m_context.now())) {
            updateServers();
        }
        if (m_fleet.refresh(m_context.now())) {
            updateHosts();
        }
        const bool isAnyReachable = m_fleet.hasReachableSource(m_context.now());
        if (std::exchange(m_isSourceReachable, isAnyReachable) != isAnyReachable) {
            m_context.record(m_context.event(isAnyReachable ? "sources-regained" : "sources-lost")
                                 .step("report")
                                 .field("revision", std::to_string(m_dispatcher.revision()))
                                 .build());
        }
    });
    m_context.runEvery(process_context::counterLogInterval, [this] {
        m_context.recordTraffic(m_transport);
        recordSuppressedLines();
    });
    sendReports();
    return core::okStatus();
}

void node::applySettings()
{
    m_fleet.setConfigured(m_context.settings.sources);
    m_dispatcher.setOwnService(m_context.settings.node->service);
}

void node::dispatch(const transport::received_message &received)
{
    if (received.target == wire::channel::Fleet) {
        const auto decoded = m_context.decode<fleet::message>(received);
        if (!decoded) {
            return;
        }
        if (const auto *update = std::get_if<fleet::source_update>(&*decoded)) {
            handleMessage(received.from, *update);
        } else if (const auto *receipt = std::get_if<fleet::departure_receipt>(&*decoded)) {
            handleMessage(received.from, *receipt);
        } else if (const auto *notice = std::get_if<quota::quota_notice>(&*decoded)) {
            handleMessage(received.from, *notice);
        }
    } else if (auto decoded = m_context.decode<forwarding::message>(received)) {
        handleMessage(received.from, std::move(*decoded));
    }
}

void node::handleMessage(const core::endpoint &peer, const fleet::source_update &update)
{
    // The departures are applied before the view, since the node begins to serve with its first
    // view.
    if (m_servers.restore(update.departed, m_context.now())) {
        updateServers();
    }
    applyViewChange(peer, update);
    if (m_fleet.apply(peer, update, m_context.now())) {
        updateHosts();
    }
    acceptHeldBackAnnouncements(peer, update);
    requestView();
}

void node::applyViewChange(const core::endpoint &peer, const fleet::source_update &update)
{
    if (update.viewChange.empty()) {
        return;
    }
    const core::result<policy::view_change> change
        = policy::decodeViewChange(update.viewChange, peer);
    if (const core::error *failure = core::errorIn(change)) {
        m_context.recordError("view-refused", *failure);
        return;
    }
    const auto *delta = std::get_if<policy::view_delta>(&core::valueIn(change));
    if (delta != nullptr && delta->revision <= m_dispatcher.revision()) {
        // The view was requested from two sources, and the other one has already answered.
        return;
    }
    core::result<policy::policy_view> applied
        = policy::applyChange(m_dispatcher.view(), core::valueIn(change));
    if (const core::error *failure = core::errorIn(applied)) {
        m_context.recordError("view-refused", *failure);
        return;
    }
    policy::policy_view newer = core::valueIn(std::move(applied));
    if (newer.revision <= m_dispatcher.revision()) {
        return;
    }
    m_viewRequestedAt.reset();
    const bool isOtherPolicy = newer.policy.number != m_dispatcher.view().policy.number;
    m_dispatcher.setView(std::move(newer));
    updateGatewayPolicy();
    m_viewSince = m_context.now();
    m_quota.setWorkspaces(m_dispatcher.view().policy.workspaces, m_viewSince);
    m_context.policyInForce = m_dispatcher.view().policy.number;
    m_viewChangedHandler();
    const policy::policy_view &held = m_dispatcher.view();
    m_context.record(m_context.event(isOtherPolicy ? "policy-in-force" : "view-in-force")
                         .peer(peer.value)
                         .step("update")
                         .field("policy", std::to_string(held.policy.number))
                         .field("routes", std::to_string(held.policy.routes.size()))
                         .field("revision", std::to_string(held.revision))
                         .build());
}

// Requests the newest view from a single source: every source announces a new revision, but its
// content is needed only once.
void node::requestView()
{
    const core::monotonic_time now = m_context.now();
    if (m_viewRequestedAt && now < *m_viewRequestedAt + viewRequestTimeout) {
        return;
    }
    const std::optional<core::endpoint> source = m_fleet.newerSource(
        m_dispatcher.revision(), m_context.settings.dataCentre, now, m_engine);
    if (!source) {
        return;
    }
    m_viewRequestedAt = now;
    fleet::host_report viewRequest;
    viewRequest.host = ownRecord();
    viewRequest.heldRevision = m_dispatcher.revision();
    sendReport(*source, viewRequest, true);
}

void node::sendReport(const core::endpoint &source, fleet::host_report &report, bool wantsView)
{
    report.wantsDirectory
        = m_fleet.wantsDirectory(source, m_context.settings.dataCentre, m_context.now());
    const fleet::directory_position held = m_fleet.directoryPosition(source);
    report.directoryEpoch = held.epoch;
    report.directoryNumber = held.number;
    report.wantsView = wantsView;
    m_transport.send(source, wire::channel::Fleet, wire::encode(fleet::message(report)));
}

void node::handleMessage(const core::endpoint &peer, forwarding::message received)
{
    const core::monotonic_time now = m_context.now();
    m_dispatcher.noteReceived(peer, now);
    if (auto *forwarded = std::get_if<forwarding::forward_request>(&received)) {
        m_gateway.handle(peer, std::move(*forwarded), now);
    } else if (auto *answer = std::get_if<forwarding::forward_answer>(&received)) {
        m_dispatcher.handle(peer, std::move(*answer), now);
    } else if (const auto *cancelled = std::get_if<forwarding::forward_cancel>(&received)) {
        m_gateway.handle(peer, *cancelled, now);
    } else if (const auto *recalled = std::get_if<forwarding::forward_recall>(&received)) {
        m_gateway.handle(peer, *recalled, now);
    } else if (const auto *probe = std::get_if<forwarding::liveness_probe>(&received)) {
        send(peer, forwarding::liveness_reply{probe->number});
    }
}

bool node::send(const core::endpoint &peer, const forwarding::message &outgoing)
{
    if (peer != m_context.settings.mesh) {
        return m_transport.send(peer, wire::channel::Forwarding, wire::encode(outgoing));
    }
    boost::asio::post(m_context.loop, [this, peer, copy = outgoing]() mutable {
        handleMessage(peer, std::move(copy));
    });
    return true;
}

// Sends the outcome alone where there is no memory for the response, so that the caller's node does
// not wait for it.
void node::sendAnswer(const core::endpoint &peer, const forwarding::forward_answer &answer)
{
    if (send(peer, answer) || answer.body.empty()) {
        return;
    }
    forwarding::forward_answer lost;
    lost.number = answer.number;
    lost.outcome = forwarding::forward_outcome::Unknown;
    lost.reason = forwarding::forward_reason::Broken;
    lost.wasSentToServer = true;
    lost.load = answer.load;
    send(peer, lost);
}

void node::linkLost(const transport::lost_link &lost)
{
    const core::monotonic_time now = m_context.now();
    m_context.recordLostLink(lost);
    m_dispatcher.linkLost(lost.peer, lost.wasConnected, now);
    if (lost.wasConnected) {
        m_gateway.linkLost(lost.peer, now);
    }
}

std::uint64_t node::beginRequest(forwarding::caller_request request,
                                 forwarding::answer_handler handler)
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
        m_context.now());
}

void node::cancelRequest(std::uint64_t number)
{
    m_dispatcher.cancel(number);
}

bool node::isReady() const
{
    return !m_isLeaving && m_dispatcher.revision() > 0 && m_dispatcher.view().policy.number > 0;
}

const policy::caller_limits &node::limits() const
{
    return m_dispatcher.view().policy.limits;
}

void node::onViewChanged(std::function<void()> handler)
{
    m_viewChangedHandler = std::move(handler);
}

void node::refuseCallers()
{
    m_refusesCallers = true;
}

void node::recallRequests()
{
    if (!std::exchange(m_hasRecalled, true)) {
        m_dispatcher.recallWaiting();
    }
}

std::size_t node::openRequests() const
{
    return m_dispatcher.openRequests() + m_gateway.openRequests();
}

void node::beginLeaving()
{
    m_isLeaving = true;
    m_gateway.beginLeaving(m_context.now());
    sendReports();
}

fleet::host_record node::ownRecord()
{
    fleet::host_record hostRecord;
    hostRecord.host = m_context.settings.host;
    hostRecord.dataCentre = m_context.settings.dataCentre;
    hostRecord.endpoint = m_context.settings.mesh;
    hostRecord.incarnation = m_context.incarnation;
    hostRecord.sequence = ++m_sequence;
    hostRecord.isLeaving = m_isLeaving;
    for (const fleet::server_record &each : m_servers.records(m_context.now())) {
        if (m_gateway.isPresent(each.instance)) {
            hostRecord.servers.push_back(each);
            // The gateway may know that the server is cold before the server announces it.
            fleet::server_record &reported = hostRecord.servers.back();
            reported.coldFor
                = std::max(reported.coldFor, m_gateway.coldFor(each.instance, m_context.now()));
        }
    }
    return hostRecord;
}

void node::sendReports()
{
    fleet::host_report outgoing;
    outgoing.host = ownRecord();
    outgoing.heldRevision = m_dispatcher.revision();
    outgoing.rollouts = m_dispatcher.rolloutReports();
    outgoing.departed = m_servers.departed(m_context.now());
    const core::monotonic_time now = m_context.now();
    const core::data_centre_name &dataCentre = m_context.settings.dataCentre;
    const std::optional<core::endpoint> primary = m_fleet.primarySource(dataCentre, now);
    outgoing.wantsSources = !primary || now >= m_sourcesRequestedAt + sourceListInterval;
    if (outgoing.wantsSources) {
        m_sourcesRequestedAt = now;
    }
    for (const core::endpoint &source : m_fleet.sourcesToReportTo(dataCentre, now)) {
        if (m_fleet.reportTo(source, now)) {
            m_transport.closeLink(source);
        }
        outgoing.passOnRollouts = source == primary;
        sendReport(source, outgoing, false);
    }
}

void node::scheduleReports()
{
    if (std::exchange(m_isReportScheduled, true)) {
        return;
    }
    boost::asio::post(m_context.loop, [this] {
        m_isReportScheduled = false;
        sendReports();
    });
}

void node::updateHosts()
{
    const std::vector<fleet::host_record> hosts = m_fleet.hosts(m_context.now());
    m_dispatcher.setHosts(hosts, m_context.now());
    std::vector<quota::listed_host> listed;
    listed.reserve(hosts.size());
    for (const fleet::host_record &each : hosts) {
        listed.push_back(quota::listed_host{each.host, each.isLeaving});
    }
    m_census.update(listed, m_context.now());
}

} // namespace jackdawweir::mesh
