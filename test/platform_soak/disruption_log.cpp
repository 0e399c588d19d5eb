#include "platform_soak/disruption_log.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::platform_soak {

namespace {

// livenessS of the small sites.
constexpr std::chrono::seconds liveness{3};

} // namespace

disruption_log::disruption_log(std::vector<std::string> sources)
    : m_sources(std::move(sources))
{
}

void disruption_log::begin(const std::string &ip, disruption kind)
{
    const std::lock_guard lock(m_mutex);
    m_intervals[ip].push_back({kind, std::chrono::steady_clock::now(), soak_time::max()});
}

void disruption_log::end(const std::string &ip)
{
    const std::lock_guard lock(m_mutex);
    std::vector<interval> &intervals = m_intervals[ip];
    const auto open = std::find_if(intervals.rbegin(), intervals.rend(), [](const interval &each) {
        return each.to == soak_time::max();
    });
    if (open != intervals.rend()) {
        open->to = std::chrono::steady_clock::now();
    }
}

bool disruption_log::isDisrupted(const std::string &ip, time_span span) const
{
    const auto found = m_intervals.find(ip);
    return found != m_intervals.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const interval &each) {
               return each.from <= span.to && each.to >= span.from;
           });
}

bool disruption_log::hasEvent(const std::string &ip, time_span span) const
{
    const auto found = m_intervals.find(ip);
    const auto lies = [&](soak_time at) {
        return span.from <= at && at <= span.to;
    };
    return found != m_intervals.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const interval &each) {
               return lies(each.from) || lies(each.to);
           });
}

bool disruption_log::isUndisturbed(const std::string &ip, time_span span) const
{
    const std::lock_guard lock(m_mutex);
    return !isDisrupted(ip, {span.from - liveness, span.to});
}

bool disruption_log::isCoreStable(time_span span) const
{
    const std::lock_guard lock(m_mutex);
    const time_span observed{span.from - liveness, span.to};
    std::size_t running = 0;
    for (const std::string &each : m_sources) {
        if (hasEvent(each, observed)) {
            return false;
        }
        running += isDisrupted(each, observed) ? 0 : 1;
    }
    return 2 * running > m_sources.size();
}

bool disruption_log::didMajorityRun(time_span span) const
{
    const std::lock_guard lock(m_mutex);
    const auto running
        = std::count_if(m_sources.begin(), m_sources.end(), [&](const std::string &each) {
              return !isDisrupted(each, span);
          });
    return 2 * static_cast<std::size_t>(running) > m_sources.size();
}

std::optional<std::size_t> disruption_log::incarnation(const std::string &ip, time_span span) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_intervals.find(ip);
    std::size_t number = 0;
    if (found == m_intervals.end()) {
        return number;
    }
    for (const interval &each : found->second) {
        if (each.kind != disruption::Down) {
            continue;
        }
        if (each.from <= span.to && each.to >= span.from) {
            return std::nullopt;
        }
        number += each.to < span.from ? 1 : 0;
    }
    return number;
}

} // namespace jackdawweir::platform_soak
