#include "platform_soak/configuration_history.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jackdawweir::platform_soak {

std::size_t configuration_history::nextId()
{
    const std::lock_guard lock(m_mutex);
    return m_nextId++;
}

void configuration_history::addSent(const configuration_change &change)
{
    const std::lock_guard lock(m_mutex);
    m_changes.push_back({change, std::chrono::steady_clock::now(), std::nullopt, std::nullopt});
}

void configuration_history::addAnswer(std::size_t id, int status)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(
        m_changes.begin(), m_changes.end(), [&](const auto &each) { return each.change.id == id; });
    if (status == 200 && !found->acknowledgedAt) {
        found->acknowledgedAt = std::chrono::steady_clock::now();
    } else if (status != 200 && !found->refusedWith) {
        found->refusedWith = status;
    }
}

void configuration_history::addRead(configuration_read read)
{
    const std::lock_guard lock(m_mutex);
    m_reads.push_back(std::move(read));
}

void configuration_history::addProbe(probe_result probe)
{
    const std::lock_guard lock(m_mutex);
    m_probes.push_back(std::move(probe));
}

std::optional<configuration_change> configuration_history::find(const std::string &text) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_changes.begin(), m_changes.end(), [&](const auto &each) {
        return each.change.text == text;
    });
    return found == m_changes.end() ? std::nullopt : std::optional(found->change);
}

std::vector<std::string> configuration_history::recentPrefixes() const
{
    constexpr std::size_t observedChanges = 12;
    const std::lock_guard lock(m_mutex);
    std::set<std::string> prefixes;
    const std::size_t count = std::min(observedChanges, m_changes.size());
    for (auto each = m_changes.end() - static_cast<std::ptrdiff_t>(count); each != m_changes.end();
         ++each) {
        prefixes.insert(ownPrefix(each->change.id));
        for (const auto &[prefix, service] : each->change.routes) {
            prefixes.insert(prefix);
        }
    }
    return {prefixes.begin(), prefixes.end()};
}

std::size_t configuration_history::acknowledgedCount() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_changes.begin(), m_changes.end(), [](const auto &each) {
            return each.acknowledgedAt.has_value();
        }));
}

std::uint64_t configuration_history::newestAcknowledgedVersion() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t newest = 0;
    for (const sent_change &each : m_changes) {
        newest = each.acknowledgedAt ? std::max(newest, each.change.version) : newest;
    }
    return newest;
}

std::vector<sent_change> configuration_history::changes() const
{
    const std::lock_guard lock(m_mutex);
    return m_changes;
}

std::vector<configuration_read> configuration_history::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

std::vector<probe_result> configuration_history::probes() const
{
    const std::lock_guard lock(m_mutex);
    return m_probes;
}

} // namespace jackdawweir::platform_soak
