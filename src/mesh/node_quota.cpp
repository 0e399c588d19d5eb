// The part of node that reports the requests of workspaces to a source and takes its notices.

#include <algorithm>
#include <utility>

#include "jackdawweir/mesh/node.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// A source that answers no usage report for this long is replaced, before the node counts as out of
// touch and keeps to its own part of the quotas.
constexpr milliseconds quotaSourceTimeout{300};

// A source that replaced the preferred one is kept for this long, since the preferred one may still
// seem reachable, or may just have started.
constexpr milliseconds keepSubstituteFor{2'000};

} // namespace

void node::reportUsage()
{
    const core::monotonic_time now = m_context.now();
    recordQuotaContact(now);
    if (!m_quota.hasQuotas() || now < m_quota.nextReportAt()) {
        return;
    }
    chooseQuotaSource(now);
    m_quota.setPlace(m_census.placeOf(m_context.settings.host, now));
    const fleet::message report = m_quota.takeReport(now);
    if (!m_quotaSource.empty()) {
        m_transport.send(m_quotaSource, wire::channel::Fleet, wire::encode(report));
    }
}

void node::chooseQuotaSource(core::monotonic_time now)
{
    const core::monotonic_time since = std::max(m_quotaSourceChosenAt, m_quotaSourceHeardAt);
    core::endpoint chosen = m_quotaSource;
    if (chosen.empty() || now >= m_quotaSourceChosenAt + keepSubstituteFor) {
        chosen = m_fleet.primarySource(m_context.settings.dataCentre, now).value_or(chosen);
    }
    const std::vector<core::endpoint> sources = m_fleet.sources();
    if (chosen == m_quotaSource && now >= since + quotaSourceTimeout && !sources.empty()) {
        const auto next = std::upper_bound(sources.begin(), sources.end(), m_quotaSource);
        chosen = next == sources.end() ? sources.front() : *next;
    }
    if (std::exchange(m_quotaSource, chosen) != chosen) {
        m_quotaSourceChosenAt = now;
    }
}

void node::handleMessage(const core::endpoint &peer, const quota::quota_notice &notice)
{
    // A late answer of a source that was replaced holds older shares.
    if (peer == m_quotaSource) {
        m_quotaSourceHeardAt = m_context.now();
        m_quota.handle(notice, m_context.now());
    }
}

void node::recordQuotaContact(core::monotonic_time now)
{
    const bool isInTouch = m_quota.hasQuotas() && m_quota.isInTouch(now);
    if (std::exchange(m_wasQuotaInTouch, isInTouch) != isInTouch) {
        m_context.record(m_context.event(isInTouch ? "quota-source-heard" : "quota-source-silent")
                             .peer(m_quotaSource.value)
                             .step("quota")
                             .build());
    }
}

} // namespace jackdawweir::mesh
