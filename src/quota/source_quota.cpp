#include "jackdawweir/quota/source_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawweir::quota {

namespace {

using std::chrono::milliseconds;

// The part of the margin that is added to the burst, so that a workspace of a few requests a second
// is not refused for what its callers send within a moment.
constexpr double burstMarginPart = 0.5;

// The part of its quota that a workspace in debt keeps, so that its callers are not all refused.
constexpr double minAdmittedPart = 0.1;

// What is admitted too much counts for this long at most, at the rate of the quota.
constexpr double maxDebtSeconds = 2;

// Unsent usage of up to this part of the burst may wait for a later exchange.
constexpr double unsentBurstPart = 0.03;

// Usage is sent after this time at the latest.
constexpr milliseconds maxUnsentTime{1'000};

// Within so many intervals after its start a source hears the others and the nodes.
constexpr int startupIntervals = 3;

// The demand is not stated before it has been counted for this long.
constexpr milliseconds minDemandAge{1'000};

// The least part of the nodes that a source takes itself to hear.
constexpr double minHeardPart = 0.001;

// Bounds the factor by which a partial count is scaled.
constexpr double minCountedPart = 0.01;

// A node that misses more reports than this is not counted as one of this source any more.
constexpr int nodeSilentIntervals = 8;

} // namespace

usage_exchange withoutUsages(const usage_exchange &exchange)
{
    return usage_exchange{exchange.nodes, {}};
}

source_quota::source_quota(const quota_settings &settings)
    : m_settings(settings)
{
}

void source_quota::setWorkspaces(const std::vector<policy::workspace> &workspaces,
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
            state.name = each.name;
            state.unsent.workspace = id;
            state.countedSince = now;
            state.updatedAt = now;
            state.sentAt = now;
        } else {
            state = std::move(held->second);
            advance(state, now);
        }
        state.requestsPerSecond = each.requestsPerSecond;
        state.burst = each.burst;
        replaced.emplace(id, std::move(state));
    }
    m_workspaces = std::move(replaced);
}

bool source_quota::hasQuotas() const
{
    return !m_workspaces.empty();
}

void source_quota::advance(workspace_state &state, core::monotonic_time now) const
{
    const auto elapsed = now - state.updatedAt;
    const double rate = m_heardPart * state.requestsPerSecond;
    const double capacity = m_heardPart * (state.burst + burstMarginPart * m_settings.margin);
    const double filled = state.tokens + rate * inSeconds(elapsed);
    state.tokens = std::clamp(filled, std::min(-1.0, -maxDebtSeconds * rate), capacity);
    const double demandKept = decayFactor(elapsed, m_settings.demandTime);
    state.demand *= demandKept;
    state.admitted *= demandKept;
    state.recent *= decayFactor(elapsed, m_settings.recentTime);
    state.updatedAt = now;
}

void source_quota::add(const workspace_usage &usage, core::monotonic_time now)
{
    const auto found = m_workspaces.find(usage.workspace);
    if (found == m_workspaces.end()) {
        return;
    }
    workspace_state &state = found->second;
    advance(state, now);
    const auto offered = static_cast<double>(usage.offered);
    const auto admitted = static_cast<double>(usage.admitted);
    state.tokens -= admitted;
    state.admitted += admitted / inSeconds(m_settings.demandTime);
    state.demand += offered / inSeconds(m_settings.demandTime);
    state.recent += offered;
}

std::optional<quota_notice> source_quota::handle(const core::endpoint &node,
                                                 const usage_report &report,
                                                 core::monotonic_time now)
{
    m_startedAt = m_startedAt.value_or(now);
    m_nodes[node] = known_node{now, report.knownNodes};
    quota_notice notice;
    notice.limited = m_limited;
    notice.reportInterval = nodeInterval();
    for (const workspace_usage &each : report.usages) {
        add(each, now);
        const auto found = m_workspaces.find(each.workspace);
        if (found != m_workspaces.end()) {
            workspace_state &state = found->second;
            state.unsent.admitted += each.admitted;
            state.unsent.offered += each.offered;
            addDemand(each.workspace, state, now, notice);
        }
    }
    if (now < *m_startedAt + startupIntervals * m_settings.reportInterval) {
        return std::nullopt;
    }
    return notice;
}

void source_quota::addDemand(workspace_id id,
                             const workspace_state &state,
                             core::monotonic_time now,
                             quota_notice &notice) const
{
    const auto age = now - state.countedSince;
    if (age < minDemandAge) {
        return;
    }
    // Scaled to what a longer count of all nodes would show: a source that has restarted, or that
    // hears only some of the nodes, must not make the parts of its nodes seem larger.
    const double counted = m_heardPart * (1 - decayFactor(age, m_settings.recentTime));
    // What the nodes and the other sources have counted arrives this much later.
    const double untold = state.demand * inSeconds(2 * m_settings.reportInterval);
    const double requests = (state.recent + untold) / std::max(counted, minCountedPart);
    notice.demands.push_back(recent_demand{id, static_cast<std::uint64_t>(std::llround(requests))});
}

void source_quota::handle(const core::endpoint &source,
                          const usage_exchange &exchange,
                          core::monotonic_time now)
{
    m_sources[source] = known_source{now, exchange.nodes};
    for (const workspace_usage &each : exchange.usages) {
        add(each, now);
    }
}

milliseconds source_quota::silenceOf(milliseconds interval) const
{
    return m_settings.silentIntervals * interval;
}

milliseconds source_quota::nodeInterval() const
{
    const auto required = std::chrono::duration_cast<milliseconds>(
        m_settings.timePerReport * static_cast<std::int64_t>(m_nodes.size()));
    return std::clamp(required, m_settings.reportInterval, m_settings.maxReportInterval);
}

bool source_quota::isHeard(const core::endpoint &source, core::monotonic_time now) const
{
    const auto found = m_sources.find(source);
    return found != m_sources.end()
        && now < found->second.heardAt + silenceOf(m_settings.reportInterval);
}

void source_quota::expirePeers(core::monotonic_time now)
{
    std::erase_if(m_nodes, [&](const auto &each) {
        return now >= each.second.heardAt + nodeSilentIntervals * nodeInterval();
    });
    std::erase_if(m_sources, [&](const auto &each) { return !isHeard(each.first, now); });
    setHeardPart(heardPart(), now);
}

double source_quota::heardPart() const
{
    std::uint32_t known = 1;
    for (const auto &[endpoint, node] : m_nodes) {
        known = std::max(known, node.knownNodes);
    }
    if (m_nodes.empty()) {
        return m_heardPart;
    }
    auto heard = static_cast<double>(m_nodes.size());
    for (const auto &[endpoint, source] : m_sources) {
        heard += source.nodes;
    }
    return std::min(1.0, heard / known);
}

void source_quota::setHeardPart(double part, core::monotonic_time now)
{
    const double previous = std::exchange(m_heardPart, std::max(part, minHeardPart));
    const double ratio = m_heardPart / previous;
    if (ratio >= 1) {
        // The nodes that are heard again bring their own requests only, no unused allowance.
        return;
    }
    const double silence = inSeconds(silenceOf(m_settings.reportInterval));
    for (auto &[id, state] : m_workspaces) {
        // Until their silence was noticed, the nodes that are no longer heard have probably
        // admitted at the rate of the others.
        state.tokens -= std::max(0.0, state.admitted) * silence * (1 / ratio - 1);
        state.tokens *= ratio;
        advance(state, now);
    }
}

double source_quota::shareOf(const workspace_state &state) const
{
    const double rate = m_heardPart * state.requestsPerSecond;
    const double admitted = rate + state.tokens / inSeconds(m_settings.correctionTime);
    return std::max(admitted, minAdmittedPart * rate) / std::max(state.demand, 1e-9);
}

void source_quota::updateLimit(workspace_id id, workspace_state &state)
{
    const double share = shareOf(state);
    const bool isLimited = share < 1;
    if (isLimited) {
        const auto parts = static_cast<std::uint32_t>(share * wholeAdmission);
        m_limited.push_back(admission_share{id, parts});
    }
    if (std::exchange(state.isLimited, isLimited) != isLimited) {
        m_changes.push_back(
            limit_change{state.name, isLimited, state.demand, state.demand * std::min(1.0, share)});
    }
}

bool source_quota::isExchangeDue(const workspace_state &state, core::monotonic_time now) const
{
    const workspace_usage &unsent = state.unsent;
    if (unsent.admitted == 0 && unsent.offered == 0) {
        return false;
    }
    const double relevant = std::max(1.0, unsentBurstPart * state.burst);
    return std::abs(static_cast<double>(unsent.admitted)) >= relevant
        || static_cast<double>(unsent.offered) >= relevant || now >= state.sentAt + maxUnsentTime;
}

usage_exchange source_quota::takeExchange(core::monotonic_time now)
{
    m_startedAt = m_startedAt.value_or(now);
    expirePeers(now);
    usage_exchange exchange;
    exchange.nodes = static_cast<std::uint32_t>(m_nodes.size());
    m_limited.clear();
    for (auto &[id, state] : m_workspaces) {
        advance(state, now);
        updateLimit(id, state);
        if (isExchangeDue(state, now)) {
            exchange.usages.push_back(state.unsent);
            state.unsent = workspace_usage{id, 0, 0};
            state.sentAt = now;
        }
    }
    return exchange;
}

std::vector<limit_change> source_quota::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t source_quota::limitedWorkspaces() const
{
    return m_limited.size();
}

} // namespace jackdawweir::quota
