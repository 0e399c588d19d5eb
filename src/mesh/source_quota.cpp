// The part of source that adds up the requests of workspaces over all nodes and sources.

#include <chrono>

#include <absl/strings/str_format.h>

#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

namespace {

// A source that has sent no hello for this long gets no usage: a connection to a host that is gone
// would be tried again with each message.
constexpr std::chrono::milliseconds exchangeWithin{1'200};

} // namespace

void source::handleMessage(const core::endpoint &peer, const quota::usage_report &report)
{
    if (!m_quota.hasQuotas()) {
        return;
    }
    if (const auto notice = m_quota.handle(peer, report, m_context.now())) {
        send(peer, *notice);
    }
}

void source::handleMessage(const core::endpoint &peer, const quota::usage_exchange &exchange)
{
    m_quota.handle(peer, exchange, m_context.now());
}

void source::handleMessage(const core::endpoint & /*peer*/, const quota::quota_notice & /*notice*/)
{
}

void source::exchangeUsage()
{
    const core::monotonic_time now = m_context.now();
    if (m_quotaRevision != m_state.view().revision) {
        m_quotaRevision = m_state.view().revision;
        m_quota.setWorkspaces(m_state.view().policy.workspaces, now);
    }
    if (!m_quota.hasQuotas()) {
        return;
    }
    const quota::usage_exchange exchange = m_quota.takeExchange(now);
    for (const auto &[endpoint, known] : m_sources) {
        const bool isHeard = known.heardAt && now < *known.heardAt + exchangeWithin;
        if (endpoint == m_context.settings.mesh || !isHeard || m_transport.isCongested(endpoint)) {
            continue;
        }
        send(endpoint, m_quota.isHeard(endpoint, now) ? exchange : quota::withoutUsages(exchange));
    }
    recordLimitChanges();
}

void source::recordLimitChanges()
{
    for (const quota::limit_change &each : m_quota.takeChanges()) {
        m_context.record(
            m_context.event(each.isLimited ? "workspace-limited" : "workspace-within-quota")
                .step("quota")
                .field("workspace", each.workspace.value)
                .field("offered-per-second", absl::StrFormat("%.0f", each.offeredPerSecond))
                .field("admitted-per-second", absl::StrFormat("%.0f", each.admittedPerSecond))
                .build());
    }
}

} // namespace jackdawweir::mesh
