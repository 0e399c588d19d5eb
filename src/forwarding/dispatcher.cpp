#include "jackdawweir/forwarding/dispatcher.h"

#include <algorithm>
#include <utility>

#include "forwarding/dispatcher_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

cold_rates coldRatesOf(const policy::traffic_policy &held)
{
    cold_rates rates;
    for (const policy::service &each : held.services) {
        rates[each.name] = each.coldRequestsPerSecond;
    }
    return rates;
}

microseconds inMicros(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<microseconds>(time);
}

} // namespace

const char *toString(caller_outcome outcome)
{
    switch (outcome) {
    case caller_outcome::Answered:
        return "answered";
    case caller_outcome::NoRoute:
        return "no-route";
    case caller_outcome::Unauthorized:
        return "unauthorized";
    case caller_outcome::NotRun:
        return "not-run";
    case caller_outcome::Unknown:
        return "unknown";
    case caller_outcome::TimedOut:
        return "timed-out";
    case caller_outcome::OverQuota:
        return "over-quota";
    }
    return "unknown";
}

dispatcher::dispatcher(const dispatcher_settings &settings,
                       dispatcher_hooks hooks,
                       const core::random_engine &engine)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_engine(engine)
    , m_numbers(m_engine)
    , m_loadBalancer(settings.loadBalancing)
    , m_downstream(settings.downstream)
    , m_peers(settings.peers, engine)
{
}

dispatcher::~dispatcher() = default;

void dispatcher::setView(policy::policy_view view)
{
    if (view.revision <= m_view.revision) {
        return;
    }
    m_view = std::move(view);
    // The sources may know versions of servers before the operator applies the first policy. Until
    // then a missing route does not mean that the path is unknown.
    m_routes = m_view.policy.number == 0
        ? nullptr
        : std::make_shared<const policy::route_table>(m_view.policy);
    m_workspaces = std::make_unique<const policy::workspace_directory>(m_view.policy);
    m_loadBalancer.setEvacuated(m_view.evacuated);
    m_loadBalancer.setColdRates(coldRatesOf(m_view.policy));
    m_splits.retain(m_view.policy.routes);
    std::map<core::service_name, watched_rollout> rollouts;
    for (const policy::rollout &each : m_view.rollouts) {
        watched_rollout watched;
        const auto held = m_rollouts.find(each.service);
        if (held != m_rollouts.end() && held->second.rollout.id == each.id) {
            watched = std::move(held->second);
        } else {
            watched.report.rollout = each.id;
        }
        watched.rollout = each;
        rollouts.insert_or_assign(each.service, std::move(watched));
    }
    m_rollouts = std::move(rollouts);
}

void dispatcher::setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now)
{
    m_loadBalancer.setHosts(hosts, now);
}

void dispatcher::setOwnService(const core::service_name &service)
{
    m_settings.ownService = service;
}

std::uint64_t dispatcher::revision() const
{
    return m_view.revision;
}

const policy::policy_view &dispatcher::view() const
{
    return m_view;
}

std::size_t dispatcher::openRequests() const
{
    return m_open.size();
}

std::size_t dispatcher::unreachablePeers() const
{
    return m_peers.unreachableCount();
}

std::uint64_t
dispatcher::begin(caller_request request, answer_handler handler, core::monotonic_time now)
{
    const auto open = std::make_shared<open_request>();
    open->number = m_numbers.next();
    open->request = std::move(request);
    open->handler = std::move(handler);
    open->begunAt = now;
    open->deadline = now;
    open->routes = m_routes;
    m_open[open->number] = open;
    if (m_routes == nullptr) {
        open->slotFreeAfter = m_settings.startupRetryAfter;
        finishNotRun(open, forward_reason::None, now);
        return open->number;
    }
    const std::string *host = http::findHeader(open->request.message.headers, "Host");
    open->route = host == nullptr ? nullptr : m_routes->find(*host, open->request.message.target);
    if (open->route == nullptr) {
        caller_answer answer;
        answer.outcome = caller_outcome::NoRoute;
        finish(open, answer, now);
        return open->number;
    }
    if (!authorize(*open)) {
        finishUnauthorized(open, now);
        return open->number;
    }
    if (const std::optional<milliseconds> retryAfter = tryAdmit(*open, now)) {
        caller_answer answer;
        answer.outcome = caller_outcome::OverQuota;
        answer.retryAfter = *retryAfter;
        finish(open, std::move(answer), now);
        return open->number;
    }
    const milliseconds timeout = open->route->timeout;
    open->deadline = now + std::min(open->request.remaining.value_or(timeout), timeout);
    open->target = now + open->route->targetLatency;
    identifyCall(*open, now);
    if (open->request.remaining && !open->isCallOfRun) {
        // A call states the time that is left to its run, which tells nothing about its own wait.
        open->priorWait
            = m_priorWaits.estimatePriorWait(open->route->name, *open->request.remaining);
        open->target -= open->priorWait;
    }
    open->service = m_splits.choosePart(*open->route, m_engine);
    m_retryBudgets.try_emplace(open->service, m_settings.retries).first->second.recordRequest(now);
    if (!admitCalls(*open, now)) {
        finishNotRun(open, forward_reason::CalledServiceFull, now);
        return open->number;
    }
    attempt(open, now);
    return open->number;
}

bool dispatcher::authorize(open_request &open) const
{
    open.workspace = policy::workspace_name{};
    open.workspaceRank = 0;
    open.workspaceWeight = 1;
    if (!m_workspaces->hasWorkspaces()) {
        return true;
    }
    if (open.request.apiKey.empty()) {
        return open.route->isPublic;
    }
    const policy::workspace *found = m_workspaces->findByKey(open.request.apiKey);
    if (found == nullptr) {
        return false;
    }
    open.workspace = found->name;
    open.workspaceRank = found->rank;
    open.workspaceWeight = m_workspaces->weightOf(*found);
    return true;
}

void dispatcher::finishUnauthorized(const open_pointer &open, core::monotonic_time now)
{
    caller_answer answer;
    answer.outcome = caller_outcome::Unauthorized;
    finish(open, answer, now);
}

server_criteria dispatcher::criteriaFor(const open_request &open, core::monotonic_time now)
{
    server_criteria criteria;
    criteria.service = open.service;
    criteria.tried = open.tried;
    criteria.route = open.route->name;
    if (open.fullNodes == 0 && open.coldRefusals == 0) {
        // Once a server has refused the request, all data centres are compared: the next one should
        // have a free slot.
        criteria.timeToTarget = inMicros(std::max(open.target - now, std::chrono::nanoseconds(0)));
    }
    const auto established = m_view.versions.find(open.service);
    if (established != m_view.versions.end()) {
        criteria.version = established->second;
    }
    const auto watched = m_rollouts.find(open.service);
    if (watched != m_rollouts.end()) {
        applyRollout(watched->second, now, criteria);
    }
    const bool isPresent
        = !criteria.version.empty() && m_loadBalancer.hasVersion(open.service, criteria.version);
    if (!isPresent) {
        // No server of the established version is left: any version that no rollout excludes is
        // accepted.
        criteria.version = core::version_name{};
    }
    return criteria;
}

void dispatcher::attempt(const open_pointer &open, core::monotonic_time now)
{
    if (!authorize(*open)) {
        // The key was withdrawn after an earlier attempt. A request that may have run ends as such.
        if (open->failure || open->mayHaveRun) {
            finishNotRun(open, open->unknownReason, now);
        } else {
            finishUnauthorized(open, now);
        }
        return;
    }
    const std::uint32_t limit = m_settings.maxFullNodes + m_settings.maxUnavailableServers;
    for (std::uint32_t tries = 0; tries < limit && !m_isRecalled; ++tries) {
        if (now + m_settings.minAttemptTime >= open->deadline) {
            break;
        }
        const std::optional<chosen_server> chosen
            = m_loadBalancer.choose(criteriaFor(*open, now), now, m_engine);
        if (!chosen) {
            break;
        }
        open->server = *chosen;
        open->tried.insert(chosen->instance);
        if (trySend(open, now)) {
            return;
        }
        ++open->unavailableServers;
    }
    finishNotRun(open, forward_reason::Full, now);
}

bool dispatcher::trySend(const open_pointer &open, core::monotonic_time now)
{
    open->attemptNumber = m_numbers.next();
    open->sentAt = now;
    const core::endpoint peer = open->server.peer;
    m_attempts[open->attemptNumber] = open;
    m_loadBalancer.sent(open->server.instance);
    if (m_hooks.send(peer, makeForwardRequest(*open, open->server, now))) {
        ++open->attempts;
        m_peers.sent(peer, now);
        return true;
    }
    m_loadBalancer.lost(open->server.instance);
    endAttempt(*open);
    return false;
}

forward_request dispatcher::makeForwardRequest(const open_request &open,
                                               const chosen_server &chosen,
                                               core::monotonic_time now) const
{
    forward_request sent;
    sent.number = open.attemptNumber;
    sent.instance = chosen.instance;
    sent.route = open.route->name;
    sent.requestId = open.request.id;
    sent.callerService = m_settings.ownService;
    sent.kind = open.route->kind;
    sent.rank = open.route->rank;
    sent.remaining = inMicros(open.deadline - now);
    sent.targetRemaining = inMicros(open.target - now);
    sent.mayUseAnotherServer
        = !chosen.isOnlyCandidate && open.fullNodes + 1 < m_settings.maxFullNodes;
    sent.method = open.request.message.method;
    sent.target = open.request.message.target;
    sent.headers = open.request.message.headers;
    if (!m_workspaces->hasWorkspaces()) {
        const http::header_list &credentials = open.request.credentials;
        sent.headers.insert(sent.headers.end(), credentials.begin(), credentials.end());
    }
    sent.body = open.request.message.body;
    sent.stated = chosen.stated;
    sent.workspace = open.workspace;
    sent.workspaceRank = open.workspaceRank;
    sent.isCallOfRun = open.isCallOfRun;
    sent.workspaceWeight = open.workspaceWeight;
    return sent;
}

void dispatcher::endAttempt(open_request &open)
{
    m_attempts.erase(open.attemptNumber);
    open.attemptNumber = 0;
}

void dispatcher::abandonAttempt(open_request &open)
{
    if (open.attemptNumber != 0) {
        m_hooks.send(open.server.peer, forward_cancel{open.attemptNumber});
        m_loadBalancer.lost(open.server.instance);
        endAttempt(open);
    }
}

void dispatcher::cancel(std::uint64_t number)
{
    const auto found = m_open.find(number);
    if (found == m_open.end()) {
        return;
    }
    const open_pointer open = found->second;
    m_open.erase(found);
    abandonAttempt(*open);
    abandonSilent(*open);
}

void dispatcher::recallWaiting()
{
    m_isRecalled = true;
    const auto attempts = m_attempts;
    for (const auto &[number, open] : attempts) {
        m_hooks.send(open->serverOf(number).peer, forward_recall{number});
    }
}

void dispatcher::tick(core::monotonic_time now)
{
    expire(now);
    watchPeers(now);
}

void dispatcher::expire(core::monotonic_time now)
{
    std::vector<open_pointer> ended;
    for (const auto &[number, open] : m_open) {
        if (now >= open->deadline) {
            ended.push_back(open);
        }
    }
    for (const open_pointer &open : ended) {
        if (open->attemptNumber != 0) {
            countVersion(*open, true, now);
            open->mayHaveRun = true;
            abandonAttempt(*open);
        }
        finishNotRun(open, forward_reason::None, now);
    }
}

} // namespace jackdawweir::forwarding
