#include "jackdawweir/moves/evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawweir::moves {

namespace {

constexpr double firstBucketNanos = 100'000.0;

} // namespace

std::size_t latency_histogram::bucketOf(std::chrono::nanoseconds latency)
{
    const double ratio = static_cast<double>(latency.count()) / firstBucketNanos;
    if (ratio <= 1.0) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::log2(ratio) * bucketsPerDoubling);
    return std::min(bucket, bucketCount - 1);
}

void latency_histogram::add(std::chrono::nanoseconds latency)
{
    ++m_counts[static_cast<std::uint8_t>(bucketOf(latency))];
}

void latency_histogram::merge(const latency_histogram &other)
{
    for (const auto &[bucket, count] : other.m_counts) {
        m_counts[bucket] += count;
    }
}

std::uint64_t latency_histogram::total() const
{
    std::uint64_t sum = 0;
    for (const auto &[bucket, count] : m_counts) {
        sum += count;
    }
    return sum;
}

std::uint64_t latency_histogram::countIn(std::size_t bucket) const
{
    const auto found = m_counts.find(static_cast<std::uint8_t>(bucket));
    return found == m_counts.end() ? 0 : found->second;
}

void latency_histogram::msgpack_unpack(const msgpack::object &object)
{
    object.convert(m_counts);
    if (!m_counts.empty() && m_counts.rbegin()->first >= bucketCount) {
        throw msgpack::type_error();
    }
}

void evidence_counters::add(const observation &observed)
{
    ++requests;
    busy += observed.latency;
    switch (observed.origin) {
    case fault_origin::None:
        if (!observed.isColdServer) {
            latencies.add(observed.latency);
        }
        return;
    case fault_origin::Server:
        ++serverErrors;
        return;
    case fault_origin::Downstream:
        ++downstreamErrors;
        return;
    case fault_origin::Overload:
        ++overloadErrors;
        return;
    case fault_origin::ColdStart:
        ++coldStartErrors;
        return;
    case fault_origin::Defect:
        ++defects;
        return;
    }
}

void evidence_counters::merge(const evidence_counters &other)
{
    requests += other.requests;
    serverErrors += other.serverErrors;
    downstreamErrors += other.downstreamErrors;
    overloadErrors += other.overloadErrors;
    coldStartErrors += other.coldStartErrors;
    defects += other.defects;
    busy += other.busy;
    latencies.merge(other.latencies);
}

std::uint64_t evidence_counters::comparable() const
{
    const std::uint64_t excluded = downstreamErrors + overloadErrors + coldStartErrors;
    return requests - std::min(requests, excluded);
}

std::uint64_t evidence_counters::ownFaults() const
{
    return std::min(serverErrors + defects, comparable());
}

void evidence_recorder::record(const evidence_key &key, const observation &observed)
{
    m_counters[key].add(observed);
}

void evidence_recorder::merge(const std::vector<evidence_cell> &cells)
{
    for (const evidence_cell &cell : cells) {
        m_counters[cell.key].merge(cell.counters);
    }
}

std::vector<evidence_cell> evidence_recorder::takeInterval()
{
    std::vector<evidence_cell> cells;
    cells.reserve(m_counters.size());
    for (auto &[key, counters] : m_counters) {
        cells.push_back({key, std::move(counters)});
    }
    m_counters.clear();
    return cells;
}

evidence_uplink::evidence_uplink(core::host_name self,
                                 std::uint64_t boot,
                                 std::chrono::nanoseconds resendAfter)
    : m_self(std::move(self))
    , m_boot(boot)
    , m_resendAfter(resendAfter)
{
}

void evidence_uplink::add(const std::vector<evidence_cell> &cells)
{
    m_pending.merge(cells);
}

std::optional<evidence_report> evidence_uplink::poll(core::monotonic_time now)
{
    if (m_inFlight) {
        if (now - m_sentAt < m_resendAfter) {
            return std::nullopt;
        }
        m_sentAt = now;
        return m_inFlight;
    }
    std::vector<evidence_cell> cells = m_pending.takeInterval();
    if (cells.empty()) {
        return std::nullopt;
    }
    m_inFlight = evidence_report{m_self, m_boot, ++m_sequence, std::move(cells)};
    m_sentAt = now;
    return m_inFlight;
}

void evidence_uplink::handle(const evidence_ack &ack)
{
    const bool matches = m_inFlight && ack.sender == m_self && ack.boot == m_boot
        && ack.sequence == m_inFlight->sequence;
    if (matches) {
        m_inFlight.reset();
    }
}

void evidence_uplink::changePeer()
{
    m_inFlight.reset();
}

evidence_ack evidence_collector::accept(const evidence_report &report)
{
    position &last = m_last[report.sender];
    const position received{report.boot, report.sequence};
    if (last < received) {
        last = received;
        m_sum.merge(report.cells);
    }
    return {report.sender, report.boot, report.sequence};
}

std::vector<evidence_cell> evidence_collector::takeInterval()
{
    return m_sum.takeInterval();
}

} // namespace jackdawweir::moves
