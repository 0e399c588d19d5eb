#include "jackdawweir/quota/node_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawweir::quota {

namespace {

using std::chrono::milliseconds;

// The bounds of the time after which a refused caller is asked to retry.
constexpr milliseconds minRetryAfter{200};
constexpr milliseconds maxRetryAfter{1'000};

// The part of the margin that nodes out of touch may use; the rest covers what they admit before
// they notice.
constexpr double aloneMarginPart = 0.5;

// A shorter count of a node's own requests is not scaled as if it were typical.
constexpr milliseconds minCountedTime{3'000};

// After a silence, a source needs so many reports before it states shares that fit the demand.
constexpr int settleIntervals = 3;

// A node whose callers took more than its part owes at most what it may admit in this time, so that
// it serves some of them soon after it has lost its sources.
constexpr double maxDebtSeconds = 2;

// A debt is paid back for this long at most after the sources have answered again: one request of a
// small workspace may be a minute of the node's part.
constexpr milliseconds repayFor{2'000};

milliseconds boundedRetryAfter(double seconds)
{
    constexpr double millisPerSecond = 1'000;
    const double bounded = std::clamp(seconds * millisPerSecond,
                                      static_cast<double>(minRetryAfter.count()),
                                      static_cast<double>(maxRetryAfter.count()));
    return milliseconds(std::llround(bounded));
}

} // namespace

node_quota::node_quota(const quota_settings &settings)
    : m_settings(settings)
    , m_reportInterval(settings.reportInterval)
{
}

void node_quota::setWorkspaces(const std::vector<policy::workspace> &workspaces,
                               core::monotonic_time now)
{
    std::unordered_map<workspace_id, workspace_state> replaced;
    for (const policy::workspace &each : workspaces) {
        if (each.requestsPerSecond <= 0) {
            continue;
        }
        const workspace_id id = idOf(each.name);
        const auto held = m_workspaces.find(id);
        workspace_state state;
        if (held == m_workspaces.end()) {
            state.id = id;
            state.tokensAt = now;
            state.countedSince = now;
            state.recentAt = now;
        } else {
            state = held->second;
            advance(state, now);
        }
        state.requestsPerSecond = each.requestsPerSecond;
        state.burst = each.burst;
        replaced.emplace(id, state);
    }
    m_workspaces = std::move(replaced);
}

void node_quota::setPlace(const node_place &place)
{
    m_place = place;
    m_place.nodes = std::max(m_place.nodes, 1U);
}

bool node_quota::hasQuotas() const
{
    return !m_workspaces.empty();
}

node_quota::workspace_state *node_quota::find(const policy::workspace_name &workspace)
{
    const auto found = m_workspaces.find(idOf(workspace));
    return found == m_workspaces.end() ? nullptr : &found->second;
}

double node_quota::partOf(const workspace_state &state) const
{
    // One request is added for each node, so that a node that has seen none has a part as well.
    const auto age
        = std::max<std::chrono::nanoseconds>(state.recentAt - state.countedSince, minCountedTime);
    // Scaled to what a longer count would show, as the count of all nodes is.
    const double own = state.recentOwn / (1 - decayFactor(age, m_settings.recentTime));
    return (own + 1) / (std::max(state.recentAll, own) + m_place.nodes);
}

double node_quota::phaseOf(const workspace_state &state) const
{
    constexpr double idRange = 18'446'744'073'709'551'616.0;
    const double offset = static_cast<double>(state.id) / idRange;
    const double place = static_cast<double>(m_place.rank) / m_place.nodes + offset;
    return place - std::floor(place);
}

void node_quota::advance(workspace_state &state, core::monotonic_time now) const
{
    const double recentKept = decayFactor(now - state.recentAt, m_settings.recentTime);
    state.recentOwn *= recentKept;
    state.recentAll *= recentKept;
    state.recentAt = now;
    const double part = partOf(state);
    const double rate = part * state.requestsPerSecond;
    const double capacity = part * (state.burst + aloneMarginPart * m_settings.margin);
    const double refilled = state.tokens + rate * inSeconds(now - state.tokensAt);
    state.tokens = std::clamp(refilled, -1 - maxDebtSeconds * rate, capacity);
    state.tokensAt = now;
}

std::optional<milliseconds> node_quota::tryAdmit(const policy::workspace_name &workspace,
                                                 core::monotonic_time now)
{
    workspace_state *state = find(workspace);
    if (state == nullptr) {
        return std::nullopt;
    }
    advance(*state, now);
    std::optional<milliseconds> retryAfter;
    const bool isAlone = !isInTouch(now);
    const bool isRepaying = state->mustRepay && now < m_answeredSince + repayFor;
    state->mustRepay = state->tokens < 0 && (isRepaying || isAlone);
    if (isAlone || state->mustRepay) {
        retryAfter = admitAlone(*state);
    } else if (const auto share = m_shares.find(state->id); share != m_shares.end()) {
        retryAfter = admitShare(*state, share->second);
    }
    if (state->unreportedOffered == 0 && state->unreportedAdmitted == 0) {
        m_changed.push_back(state->id);
    }
    ++state->unreportedOffered;
    if (!retryAfter) {
        state->tokens -= 1;
        ++state->unreportedAdmitted;
    }
    return retryAfter;
}

std::optional<milliseconds> node_quota::admitShare(workspace_state &state, double share) const
{
    // The shares of requests add up, so that the admitted part is exact over a few requests.
    state.credit += share;
    if (state.credit + phaseOf(state) >= 1) {
        state.credit -= 1;
        return std::nullopt;
    }
    // The demand above the quota, in units of the quota, takes this long to be served.
    const double excess = share > 0 ? 1 / share - 1 : 1;
    return boundedRetryAfter(excess * inSeconds(m_settings.correctionTime));
}

std::optional<milliseconds> node_quota::admitAlone(workspace_state &state) const
{
    const double missing = 1 - state.tokens - phaseOf(state);
    if (missing <= 0) {
        return std::nullopt;
    }
    return boundedRetryAfter(missing / (partOf(state) * state.requestsPerSecond));
}

void node_quota::release(const policy::workspace_name &workspace, core::monotonic_time now)
{
    count(workspace, -1, now);
}

void node_quota::chargeRepeat(const policy::workspace_name &workspace, core::monotonic_time now)
{
    count(workspace, 1, now);
}

void node_quota::count(const policy::workspace_name &workspace,
                       std::int64_t admitted,
                       core::monotonic_time now)
{
    if (workspace_state *state = find(workspace)) {
        advance(*state, now);
        state->unreportedAdmitted += admitted;
        state->tokens -= static_cast<double>(admitted);
        m_changed.push_back(state->id);
    }
}

core::monotonic_time node_quota::nextReportAt() const
{
    return m_reportedAt + m_reportInterval;
}

usage_report node_quota::takeReport(core::monotonic_time now)
{
    usage_report report;
    report.knownNodes = m_place.nodes;
    const bool isCounted = isAnswered(now);
    if (!isCounted) {
        m_unconfirmed.clear();
    }
    for (const workspace_id each : std::exchange(m_changed, {})) {
        const auto found = m_workspaces.find(each);
        if (found == m_workspaces.end()) {
            continue;
        }
        workspace_state &state = found->second;
        advance(state, now);
        const workspace_usage usage{each, state.unreportedAdmitted, state.unreportedOffered};
        state.unreportedAdmitted = 0;
        state.unreportedOffered = 0;
        if (isCounted && (usage.admitted != 0 || usage.offered != 0)) {
            m_unconfirmed.push_back(usage);
            report.usages.push_back(usage);
        }
    }
    m_reportedAt = now;
    return report;
}

void node_quota::handle(const quota_notice &notice, core::monotonic_time now)
{
    if (!isAnswered(now)) {
        m_answeredSince = now;
    }
    m_noticeAt = now;
    m_reportInterval = std::clamp(
        notice.reportInterval, m_settings.reportInterval, m_settings.maxReportInterval);
    for (const workspace_usage &each : std::exchange(m_unconfirmed, {})) {
        const auto found = m_workspaces.find(each.workspace);
        if (found != m_workspaces.end()) {
            advance(found->second, now);
            found->second.recentOwn += static_cast<double>(each.offered);
        }
    }
    m_shares.clear();
    for (const admission_share &each : notice.limited) {
        m_shares[each.workspace] = static_cast<double>(each.share) / wholeAdmission;
        const auto found = m_workspaces.find(each.workspace);
        if (found != m_workspaces.end()) {
            // All nodes together use up the burst, also where this one has used less than its part.
            advance(found->second, now);
            found->second.tokens = std::min(found->second.tokens, 0.0);
        }
    }
    for (const recent_demand &each : notice.demands) {
        const auto found = m_workspaces.find(each.workspace);
        if (found != m_workspaces.end()) {
            advance(found->second, now);
            found->second.recentAll = static_cast<double>(each.requests);
        }
    }
}

bool node_quota::isAnswered(core::monotonic_time now) const
{
    return m_noticeAt && now < *m_noticeAt + m_settings.silentIntervals * m_reportInterval;
}

bool node_quota::isInTouch(core::monotonic_time now) const
{
    return isAnswered(now) && now >= m_answeredSince + settleIntervals * m_reportInterval;
}

} // namespace jackdawweir::quota
