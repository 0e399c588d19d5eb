#include "jackdawweir/forwarding/server_gateway.h"

#include <algorithm>

#include "forwarding/server_gateway_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Requests up to this size are accepted also when the memory for requests is used up, so that large
// ones can't keep them out.
constexpr std::uint64_t alwaysAcceptedBytes = std::uint64_t{8} * 1024;

// The retry delay of a request that is refused for lack of memory.
constexpr microseconds memoryRetryAfter{200'000};

forward_reason reasonOf(bool isOverShare)
{
    return isOverShare ? forward_reason::OverShare : forward_reason::Full;
}

} // namespace

server_gateway::server_gateway(boost::asio::io_context &context,
                               const gateway_settings &settings,
                               const core::clock &clock,
                               gateway_hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
    m_settings.client.budget = m_settings.budget;
}

server_gateway::~server_gateway()
{
    for (const auto &[localId, request] : m_requests) {
        if (request->connection != nullptr) {
            request->connection->close();
        }
    }
    for (const auto &[instance, server] : m_servers) {
        endHealthCheck(*server);
        for (const auto &each : server->idle) {
            each->close();
        }
    }
}

void server_gateway::setServers(const std::vector<hosted_server> &servers)
{
    for (const auto &[instance, server] : m_servers) {
        server->isListed = false;
    }
    for (const hosted_server &each : servers) {
        const fleet::server_record &record = each.record;
        server_pointer &server = m_servers[record.instance];
        if (server == nullptr) {
            server = std::make_shared<local_server>(m_settings.admissionQueue);
        }
        if (server->record.instance.empty() || server->record.startedAt != record.startedAt) {
            server->statements = statement_tracker(record.startedAt);
            server->pace = server_pace();
            server->statedLeaveAt.reset();
            server->cold = cold_state();
            server->limitPerSecond = 0;
            server->admission.setRate(0, m_clock.monotonicNow());
            server->cold.announced(record.coldFor, m_clock.monotonicNow());
        }
        server->record = record;
        server->isListed = true;
        server->admission.setSlots(record.slots);
        server->drainingSince = each.drainingSince;
        updateCold(server, m_clock.monotonicNow());
    }
    for (auto each = m_servers.begin(); each != m_servers.end();) {
        const server_pointer server = each->second;
        if (server->isListed) {
            ++each;
            continue;
        }
        each = m_servers.erase(each);
        endHealthCheck(*server);
        for (const auto &connection : server->idle) {
            connection->close();
        }
        server->idle.clear();
        apply(server, server->admission.refuseAll());
    }
}

void server_gateway::markPresent(const fleet::instance_name &instance)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end() && std::exchange(found->second->isAbsent, false)) {
        m_hooks.presenceChanged();
    }
}

bool server_gateway::isPresent(const fleet::instance_name &instance) const
{
    const auto found = m_servers.find(instance);
    return found != m_servers.end() && !found->second->isAbsent;
}

std::optional<forward_reason> server_gateway::refusalFor(const fleet::instance_name &instance,
                                                         core::monotonic_time now) const
{
    const auto found = m_servers.find(instance);
    if (found == m_servers.end() || found->second->isAbsent) {
        return forward_reason::ServerGone;
    }
    if (isEvacuated()) {
        return forward_reason::Evacuated;
    }
    if (isColdRateUnknown(*found->second, now)) {
        return forward_reason::Cold;
    }
    return isDrained(*found->second, now) ? std::optional(forward_reason::Draining) : std::nullopt;
}

bool server_gateway::isDrained(const local_server &server, core::monotonic_time now) const
{
    const std::optional<core::monotonic_time> since = leavingSince(server);
    return since && now >= *since + m_settings.acceptWhileDraining;
}

// Returns the time at which the server or its node began to leave, whichever was first.
std::optional<core::monotonic_time> server_gateway::leavingSince(const local_server &server) const
{
    std::optional<core::monotonic_time> first;
    for (const auto &each : {server.drainingSince, server.statedLeaveAt, m_leavingSince}) {
        first = each && (!first || *each < *first) ? each : first;
    }
    return first;
}

void server_gateway::reportIfLeaving(const served_request &started) const
{
    const std::optional<core::monotonic_time> since = leavingSince(*started.server);
    if (since) {
        m_hooks.startedWhileLeaving(leaving_request{
            started.peer,
            started.forwarded.requestId,
            started.forwarded.instance,
            std::chrono::duration_cast<milliseconds>(m_clock.monotonicNow() - *since)});
    }
}

void server_gateway::handle(const core::endpoint &peer,
                            forward_request received,
                            core::monotonic_time now)
{
    const auto request = std::make_shared<served_request>();
    request->peer = peer;
    request->forwarded = std::move(received);
    const forward_request &forwarded = request->forwarded;
    request->deadline = now + forwarded.remaining;
    if (const std::optional<forward_reason> reason = refusalFor(forwarded.instance, now)) {
        refuse(request, *reason, microseconds(0));
        return;
    }
    if (!tryClaim(*request)) {
        refuse(request, forward_reason::Full, memoryRetryAfter);
        return;
    }
    request->localId = ++m_lastLocalId;
    request->server = m_servers.at(forwarded.instance);
    adoptStatement(*request->server, forwarded.stated);
    if (isTooSlowFor(*request->server, forwarded, now)) {
        refuse(request, forward_reason::Slow, microseconds(0));
        return;
    }
    // Requests that the limit has let start since the last tick come first.
    apply(request->server, request->server->admission.startWaiting(now));
    const admission_queue_decision decision
        = request->server->admission.arrive(queueRequestOf(*request, now), now);
    if (decision.verdict == admission_queue_verdict::Refuse) {
        const bool isCold = request->server->cold.isCold(now);
        refuse(request,
               isCold ? forward_reason::Cold : reasonOf(decision.isOverShare),
               decision.retryAfter);
        return;
    }
    m_requests[request->localId] = request;
    m_localIds[{peer, forwarded.number}] = request->localId;
    if (decision.verdict == admission_queue_verdict::Start) {
        run(request);
    }
}

admission_queue_request server_gateway::queueRequestOf(const served_request &served,
                                                       core::monotonic_time now)
{
    const forward_request &forwarded = served.forwarded;
    admission_queue_request request;
    request.number = served.localId;
    request.route = forwarded.route;
    request.rank = forwarded.rank;
    request.deadline = served.deadline;
    request.target = now + forwarded.targetRemaining;
    request.mayUseAnotherServer = forwarded.mayUseAnotherServer;
    request.isCallOfRun = forwarded.isCallOfRun;
    request.workspace = {forwarded.workspace, forwarded.workspaceWeight};
    request.workspaceRank = forwarded.workspaceRank;
    return request;
}

bool server_gateway::tryClaim(served_request &received) const
{
    constexpr std::uint64_t copies = 2;
    const std::uint64_t bytes = copies * received.forwarded.body.size();
    const std::shared_ptr<core::memory_budget> &budget = m_settings.budget;
    const bool isPermitted = budget == nullptr || bytes <= alwaysAcceptedBytes
        || budget->permits(core::memory_use::ServedRequest, bytes);
    if (isPermitted) {
        received.claim.emplace(budget, core::memory_use::ServedRequest);
        received.claim->resize(bytes);
    }
    return isPermitted;
}

void server_gateway::run(const request_pointer &started)
{
    // The server may have stopped taking requests while this one waited.
    if (refuseIfDrained(started)) {
        return;
    }
    started->isRunning = true;
    started->startedAt = m_clock.monotonicNow();
    started->slowdownAtStart = started->server->pace.slowdown(started->startedAt);
    m_settings.calls->beginRun(
        started->localId, started->forwarded.route, started->deadline, started->startedAt);
    send(started, false);
}

bool server_gateway::refuseIfDrained(const request_pointer &request)
{
    const server_pointer server = request->server;
    const core::monotonic_time now = m_clock.monotonicNow();
    const std::optional<forward_reason> reason = refusalFor(server->record.instance, now);
    if (!reason) {
        return false;
    }
    apply(server, server->admission.refuseAll());
    apply(server, server->admission.release(request->localId, now));
    refuse(request, *reason, microseconds(0));
    return true;
}

std::shared_ptr<http::client_connection>
server_gateway::takeConnection(local_server &server,
                               const http::response_identity &expected,
                               bool isNew)
{
    const auto found
        = std::find_if(server.idle.rbegin(), server.idle.rend(), [&](const auto &each) {
              return each->isReusableFor(expected);
          });
    if (!isNew && found != server.idle.rend()) {
        std::shared_ptr<http::client_connection> taken = *found;
        server.idle.erase(std::next(found).base());
        return taken;
    }
    return std::make_shared<http::client_connection>(
        m_context, server.record.address, m_settings.client, m_clock);
}

http::request server_gateway::requestFor(const served_request &served,
                                         std::chrono::nanoseconds remaining) const
{
    const forward_request &forwarded = served.forwarded;
    const header_names &names = m_settings.headers;
    http::request sent{forwarded.method, forwarded.target, forwarded.headers, forwarded.body};
    const auto left = std::chrono::duration_cast<milliseconds>(remaining);
    http::setHeader(
        sent.headers, names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    http::setHeader(sent.headers, names.callerService, forwarded.callerService.value);
    http::setHeader(sent.headers, names.expectedInstance, forwarded.instance.value);
    http::removeHeader(sent.headers, names.workspace);
    if (!forwarded.workspace.empty()) {
        http::setHeader(sent.headers, names.workspace, forwarded.workspace.value);
    }
    return sent;
}

void server_gateway::send(const request_pointer &started, bool onNewConnection)
{
    reportIfLeaving(*started);
    const std::chrono::nanoseconds remaining = started->deadline - m_clock.monotonicNow();
    const http::response_identity expected{m_settings.headers.requestId,
                                           started->forwarded.requestId};
    const auto connection = takeConnection(*started->server, expected, onNewConnection);
    started->connection = connection;
    connection->send(
        requestFor(*started, remaining),
        expected,
        [this, instance = started->forwarded.instance] {
            return !refusalFor(instance, m_clock.monotonicNow());
        },
        [this, started](http::client_result result) {
            if (auto *received = std::get_if<http::response>(&result)) {
                handleResult(started, std::move(*received));
            } else {
                handleResult(started, std::get<http::client_failure>(result));
            }
        });
}

void server_gateway::handleResult(const request_pointer &ended, http::response received)
{
    const core::monotonic_time now = m_clock.monotonicNow();
    const server_pointer server = ended->server;
    const bool isNotRun = received.status == http::status::misdirected
        || http::findHeader(received.headers, m_settings.headers.notRun) != nullptr;
    if (isNotRun) {
        ended->connection->recordRefusal();
    }
    readStatement(*server, received, isNotRun);
    returnConnection(ended->connection, *server);
    forward_answer answer;
    answer.wasSentToServer = true;
    if (isNotRun) {
        answer.outcome = forward_outcome::NotRun;
        answer.reason = received.status == http::status::misdirected ? forward_reason::ServerGone
                                                                     : forward_reason::Rejected;
        apply(server, server->admission.reject(ended->localId, now));
    } else {
        answer.outcome = forward_outcome::Answered;
        answer.status = received.status;
        http::removeConnectionHeaders(received.headers);
        answer.headers = std::move(received.headers);
        answer.body = std::move(received.body);
        const bool isFailure = http::status::isServerError(received.status);
        apply(server,
              server->admission.finish(ended->localId, usualRunTime(*ended, now), isFailure, now));
    }
    end(ended, std::move(answer));
}

void server_gateway::returnConnection(const std::shared_ptr<http::client_connection> &used,
                                      local_server &server)
{
    if (used->isReusable() && server.isListed) {
        server.idle.push_back(used);
    } else {
        used->close();
    }
}

void server_gateway::handleResult(const request_pointer &ended, const http::client_failure &failure)
{
    const core::monotonic_time now = m_clock.monotonicNow();
    const server_pointer server = ended->server;
    const bool isIdempotent = ended->forwarded.kind == document::request_kind::Idempotent;
    const bool wasIdleConnection = ended->connection->wasReused();
    ended->connection->close();
    const bool wasSent = failure.stage == http::send_stage::Sent;
    const std::optional<forward_reason> refusal = refusalFor(server->record.instance, now);
    const bool mayResend = (!wasSent || isIdempotent) && !refusal;
    // The server counts what it got, so a second send of a request needs a permit of its own.
    if (wasIdleConnection && mayResend && !ended->wasResent
        && (!wasSent || server->admission.tryResend(now))) {
        // The server closed the idle connection while the request was being sent.
        ended->wasResent = true;
        send(ended, true);
        return;
    }
    forward_answer answer;
    if (!wasSent) {
        answer.outcome = forward_outcome::NotRun;
        answer.reason = refusal.value_or(forward_reason::ServerGone);
        if (!refusal) {
            markAbsent(server);
        }
        apply(server, server->admission.release(ended->localId, now));
    } else {
        answer.outcome = forward_outcome::Unknown;
        answer.reason = forward_reason::Broken;
        answer.wasSentToServer = true;
        apply(server, server->admission.finish(ended->localId, now - ended->startedAt, true, now));
    }
    end(ended, std::move(answer));
}

void server_gateway::markAbsent(const server_pointer &server)
{
    if (!std::exchange(server->isAbsent, true)) {
        apply(server, server->admission.refuseAll());
        m_hooks.presenceChanged();
    }
}

void server_gateway::apply(const server_pointer &server,
                           const std::vector<admission_queue_action> &actions)
{
    for (const admission_queue_action &action : actions) {
        const auto found = m_requests.find(action.number);
        if (found == m_requests.end()) {
            continue;
        }
        const request_pointer request = found->second;
        if (action.starts) {
            run(request);
        } else {
            refuse(request,
                   refusalFor(server->record.instance, m_clock.monotonicNow())
                       .value_or(reasonOf(action.isOverShare)),
                   action.retryAfter);
        }
    }
}

void server_gateway::refuse(const request_pointer &refused,
                            forward_reason reason,
                            microseconds retryAfter)
{
    forward_answer answer;
    answer.outcome = forward_outcome::NotRun;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    end(refused, std::move(answer));
}

void server_gateway::end(const request_pointer &ended, forward_answer answer)
{
    m_settings.calls->endRun(ended->localId);
    m_requests.erase(ended->localId);
    m_localIds.erase({ended->peer, ended->forwarded.number});
    ended->connection.reset();
    answer.number = ended->forwarded.number;
    if (ended->server != nullptr) {
        answer.load = loadFor(*ended);
    }
    m_hooks.answer(ended->peer, ended->forwarded.requestId, answer);
}

void server_gateway::abandon(const request_pointer &abandoned, core::monotonic_time now)
{
    m_settings.calls->endRun(abandoned->localId);
    m_requests.erase(abandoned->localId);
    m_localIds.erase({abandoned->peer, abandoned->forwarded.number});
    const server_pointer server = abandoned->server;
    if (!abandoned->isRunning) {
        server->admission.remove(abandoned->localId, now);
        return;
    }
    // Closing the connection cancels the request at the server.
    abandoned->connection->close();
    abandoned->connection.reset();
    apply(server, server->admission.release(abandoned->localId, now));
}

void server_gateway::handle(const core::endpoint &peer,
                            const forward_cancel &cancelled,
                            core::monotonic_time now)
{
    const auto localId = m_localIds.find({peer, cancelled.number});
    if (localId != m_localIds.end()) {
        const request_pointer abandoned = m_requests.at(localId->second);
        abandon(abandoned, now);
    }
}

void server_gateway::handle(const core::endpoint &peer,
                            const forward_recall &recalled,
                            core::monotonic_time now)
{
    const auto localId = m_localIds.find({peer, recalled.number});
    if (localId == m_localIds.end()) {
        return;
    }
    const request_pointer request = m_requests.at(localId->second);
    if (!request->isRunning) {
        request->server->admission.remove(request->localId, now);
        refuse(request, forward_reason::Recalled, microseconds(0));
    }
}

void server_gateway::linkLost(const core::endpoint &peer, core::monotonic_time now)
{
    std::vector<request_pointer> lost;
    for (const auto &[localId, request] : m_requests) {
        if (request->peer == peer) {
            lost.push_back(request);
        }
    }
    for (const request_pointer &each : lost) {
        // Abandoning one request may start and end others, so each is looked up again by its id.
        if (m_requests.contains(each->localId)) {
            abandon(each, now);
        }
    }
}

void server_gateway::beginLeaving(core::monotonic_time now)
{
    m_leavingSince = now;
}

void server_gateway::tick(core::monotonic_time now)
{
    const auto servers = m_servers;
    for (const auto &[instance, server] : servers) {
        updateCold(server, now);
        apply(server, server->admission.expire(now));
        apply(server, server->admission.startWaiting(now));
        if (refusalFor(instance, now)) {
            // A request that waited longer would reach the server after the drain period.
            apply(server, server->admission.refuseAll());
        }
        std::erase_if(server->idle, [](const auto &each) {
            const bool isStale = !each->isReusable();
            if (isStale) {
                each->close();
            }
            return isStale;
        });
    }
    std::vector<request_pointer> overdue;
    for (const auto &[localId, request] : m_requests) {
        if (request->isRunning && now >= request->deadline + m_settings.deadlineGrace) {
            overdue.push_back(request);
        }
    }
    for (const request_pointer &each : overdue) {
        if (m_requests.contains(each->localId)) {
            forward_answer answer;
            answer.number = each->forwarded.number;
            answer.reason = forward_reason::Broken;
            answer.wasSentToServer = true;
            abandon(each, now);
            answer.load = loadFor(*each);
            m_hooks.answer(each->peer, each->forwarded.requestId, answer);
        }
    }
}

std::size_t server_gateway::waitingRequests() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const auto &each) {
            return !each.second->isRunning;
        }));
}

std::size_t server_gateway::openRequests() const
{
    return m_requests.size();
}

} // namespace jackdawweir::forwarding
