#include "jackdawweir/fleet/fleet_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/core/digest.h"

namespace jackdawweir::fleet {

fleet_view::fleet_view(const fleet_view_settings &settings)
    : m_settings(settings)
{
}

bool fleet_view::apply(const core::endpoint &source,
                       const source_update &update,
                       core::monotonic_time now)
{
    for (const source_record &advertised : update.sources) {
        known_source &listed = m_sources[advertised.endpoint];
        listed.advertisedAt = now;
        if (!advertised.dataCentre.empty()) {
            listed.dataCentre = advertised.dataCentre;
        }
    }
    if (!m_firstUpdateAt) {
        m_firstUpdateAt = now;
    }
    known_source &known = m_sources[source];
    known.updatedAt = now;
    known.answers.received();
    known.dataCentre = update.dataCentre;
    known.isCurrent = update.isCurrent;
    if (update.revision != known.revision) {
        known.revision = update.revision;
        known.revisionAt = now;
    }
    known.hasDirectory = update.hasDirectory;
    if (!update.hasDirectory) {
        known.directory = directory_position{};
        return std::exchange(known.hosts, {}).size() > 0;
    }
    const bool isOtherEpoch = known.directory.epoch != update.directoryEpoch;
    if (isOtherEpoch && !update.isWhole) {
        return false;
    }
    if (!isOtherEpoch && update.directoryNumber < known.directory.number) {
        return false;
    }
    if (!update.isWhole && update.directoryBase > known.directory.number) {
        return false;
    }
    if (update.isWhole && known.directory.epoch != 0 && isOtherEpoch) {
        known.hostsBeforeRestart = known.hosts;
        known.hostsBeforeRestartUntil = now + m_settings.restartGracePeriod;
    }
    storeDirectory(update, known);
    return update.isWhole || !update.changed.empty() || !update.removed.empty();
}

void fleet_view::storeDirectory(const source_update &update, known_source &known)
{
    if (update.isWhole) {
        known.hosts.clear();
    }
    for (const host_record &each : update.changed) {
        known.hosts[each.host] = each;
    }
    for (const core::host_name &each : update.removed) {
        known.hosts.erase(each);
    }
    known.directory = directory_position{update.directoryEpoch, update.directoryNumber};
}

bool fleet_view::isOwnServing(const core::data_centre_name &ownDataCentre,
                              core::monotonic_time now) const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [&](const auto &each) {
        const known_source &source = each.second;
        return source.dataCentre == ownDataCentre && source.isCurrent
            && wasUpdatedWithin(source, m_settings.ownSourceTimeout, now);
    });
}

std::uint64_t fleet_view::preferenceOf(const core::endpoint &source) const
{
    return core::checksumOf(absl::StrCat(m_settings.spread, " ", source.value));
}

std::vector<core::endpoint> fleet_view::substitutes(const core::data_centre_name &ownDataCentre,
                                                    core::monotonic_time now) const
{
    // The smallest values come first: sources in contact with the leader, then others that answer,
    // then those that do not, of which different ones are tried in turn.
    std::vector<std::tuple<int, std::uint64_t, core::endpoint>> ranked;
    const auto trial
        = static_cast<std::uint64_t>(now.time_since_epoch() / m_settings.substituteTrial);
    for (const auto &[endpoint, source] : m_sources) {
        if (source.dataCentre == ownDataCentre) {
            continue;
        }
        if (!wasUpdatedWithin(source, m_settings.ownSourceTimeout, now)) {
            const std::uint64_t turn = core::checksumOf(
                absl::StrCat(m_settings.spread, " ", endpoint.value, " ", trial));
            ranked.emplace_back(2, turn, endpoint);
        } else {
            ranked.emplace_back(source.isCurrent ? 0 : 1, preferenceOf(endpoint), endpoint);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<core::endpoint> chosen;
    for (const auto &[tier, preference, endpoint] : ranked) {
        if (chosen.size() < m_settings.substitutes) {
            chosen.push_back(endpoint);
        }
    }
    return chosen;
}

std::vector<core::endpoint> fleet_view::ownSources(const core::data_centre_name &ownDataCentre,
                                                   core::monotonic_time now) const
{
    std::vector<std::tuple<bool, std::uint64_t, core::endpoint>> ranked;
    for (const auto &[endpoint, source] : m_sources) {
        if (source.dataCentre == ownDataCentre) {
            const bool isSilent = !wasUpdatedWithin(source, m_settings.ownSourceTimeout, now);
            ranked.emplace_back(isSilent, preferenceOf(endpoint), endpoint);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<core::endpoint> sorted;
    sorted.reserve(ranked.size());
    for (const auto &[isSilent, preference, endpoint] : ranked) {
        sorted.push_back(endpoint);
    }
    return sorted;
}

bool fleet_view::wantsDirectory(const core::endpoint &source,
                                const core::data_centre_name &ownDataCentre,
                                core::monotonic_time now) const
{
    const std::vector<core::endpoint> own = ownSources(ownDataCentre, now);
    const auto found = std::find(own.begin(), own.end(), source);
    if (found != own.end()) {
        return static_cast<std::size_t>(found - own.begin()) < m_settings.ownDirectories;
    }
    const bool mayLearnOwn
        = !m_firstUpdateAt || now < *m_firstUpdateAt + m_settings.ownSourceTimeout;
    if (mayLearnOwn || isOwnServing(ownDataCentre, now)) {
        return false;
    }
    const std::vector<core::endpoint> others = substitutes(ownDataCentre, now);
    return std::find(others.begin(), others.end(), source) != others.end();
}

std::vector<core::endpoint>
fleet_view::sourcesToReportTo(const core::data_centre_name &ownDataCentre,
                              core::monotonic_time now) const
{
    std::vector<core::endpoint> targets = ownSources(ownDataCentre, now);
    if (!isOwnServing(ownDataCentre, now)) {
        const std::vector<core::endpoint> others = substitutes(ownDataCentre, now);
        targets.insert(targets.end(), others.begin(), others.end());
    }
    return targets;
}

std::vector<core::endpoint>
fleet_view::sourcesToStoreAt(const core::data_centre_name &ownDataCentre,
                             core::monotonic_time now) const
{
    std::vector<core::endpoint> targets = ownSources(ownDataCentre, now);
    targets.resize(std::min(targets.size(), m_settings.ownDirectories));
    const std::vector<core::endpoint> others = substitutes(ownDataCentre, now);
    targets.insert(targets.end(), others.begin(), others.end());
    return targets;
}

core::endpoint fleet_view::soleSourceOf(const core::data_centre_name &dataCentre) const
{
    core::endpoint found;
    for (const auto &[endpoint, source] : m_sources) {
        if (source.dataCentre != dataCentre) {
            continue;
        }
        if (!found.empty()) {
            return core::endpoint{};
        }
        found = endpoint;
    }
    return found;
}

bool fleet_view::mayHaveSourceIn(const core::data_centre_name &dataCentre) const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [&](const auto &each) {
        return each.second.dataCentre.empty() || each.second.dataCentre == dataCentre;
    });
}

std::optional<core::endpoint> fleet_view::primarySource(const core::data_centre_name &ownDataCentre,
                                                        core::monotonic_time now) const
{
    for (const core::endpoint &each : sourcesToReportTo(ownDataCentre, now)) {
        const known_source &source = m_sources.at(each);
        if (source.isCurrent && wasUpdatedWithin(source, m_settings.ownSourceTimeout, now)) {
            return each;
        }
    }
    return std::nullopt;
}

bool fleet_view::reportTo(const core::endpoint &source, core::monotonic_time now)
{
    reply_watch &answers = m_sources[source].answers;
    const bool isOverdue = answers.takeOverdue(now);
    answers.sent(now);
    return isOverdue;
}

bool fleet_view::refresh(core::monotonic_time now)
{
    bool isChanged = false;
    for (auto &[endpoint, source] : m_sources) {
        const bool isNowReachable = isReachable(source, now);
        isChanged = isChanged || isNowReachable != source.wasReachable;
        source.wasReachable = isNowReachable;
        if (!source.hostsBeforeRestart.empty() && now >= source.hostsBeforeRestartUntil) {
            source.hostsBeforeRestart.clear();
            isChanged = true;
        }
    }
    std::erase_if(m_sources, [&](const auto &each) {
        const known_source &source = each.second;
        const core::monotonic_time last = std::max(source.updatedAt, source.advertisedAt);
        return !source.isConfigured && now >= last + m_settings.expireSourceAfter;
    });
    return isChanged;
}

std::uint64_t fleet_view::announcedRevision() const
{
    std::uint64_t newest = 0;
    for (const auto &[endpoint, source] : m_sources) {
        newest = std::max(newest, source.revision);
    }
    return newest;
}

core::monotonic_time fleet_view::currentSourceHeardAt() const
{
    core::monotonic_time latest{};
    for (const auto &[endpoint, source] : m_sources) {
        if (source.isCurrent) {
            latest = std::max(latest, source.updatedAt);
        }
    }
    return latest;
}

directory_position fleet_view::directoryPosition(const core::endpoint &source) const
{
    const auto found = m_sources.find(source);
    return found == m_sources.end() ? directory_position{} : found->second.directory;
}

bool fleet_view::wasUpdatedWithin(const known_source &source,
                                  std::chrono::milliseconds timeout,
                                  core::monotonic_time now)
{
    return source.updatedAt != core::monotonic_time{} && now < source.updatedAt + timeout;
}

bool fleet_view::isReachable(const known_source &source, core::monotonic_time now) const
{
    return wasUpdatedWithin(source, m_settings.sourceTimeout, now);
}

std::optional<core::endpoint> fleet_view::newerSource(std::uint64_t revision,
                                                      const core::data_centre_name &ownDataCentre,
                                                      core::monotonic_time now,
                                                      core::random_engine &engine) const
{
    std::vector<core::endpoint> own;
    std::vector<core::endpoint> other;
    bool hasOwnSource = false;
    bool hasWaited = false;
    for (const auto &[endpoint, source] : m_sources) {
        if (!isReachable(source, now)) {
            continue;
        }
        const bool isOwn = source.dataCentre == ownDataCentre;
        hasOwnSource = hasOwnSource || isOwn;
        if (source.revision <= revision) {
            continue;
        }
        hasWaited = hasWaited || now >= source.revisionAt + m_settings.ownDataCentreWait;
        (isOwn ? own : other).push_back(endpoint);
    }
    if (own.empty() && hasOwnSource && !hasWaited) {
        return std::nullopt;
    }
    std::vector<core::endpoint> usable = own;
    if (own.empty() || hasWaited) {
        usable.insert(usable.end(), other.begin(), other.end());
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
    return usable[draw(engine)];
}

bool fleet_view::hasReachableSource(core::monotonic_time now) const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [&](const auto &each) {
        return isReachable(each.second, now);
    });
}

std::vector<host_record> fleet_view::hosts(core::monotonic_time now) const
{
    const bool isDirectoryReachable
        = std::any_of(m_sources.begin(), m_sources.end(), [&](const auto &each) {
              return each.second.hasDirectory && isReachable(each.second, now);
          });
    std::vector<host_record> records;
    for (const auto &[endpoint, source] : m_sources) {
        const bool isKept = !isDirectoryReachable && m_settings.keepsLastHosts;
        if (isKept || isReachable(source, now)) {
            addRecords(source.hosts, records);
            addRecords(source.hostsBeforeRestart, records);
        }
    }
    return newestOfEachHost(std::move(records));
}

std::vector<host_record> fleet_view::hostsListedIn(const core::data_centre_name &dataCentre,
                                                   core::monotonic_time now) const
{
    std::vector<host_record> records;
    for (const auto &[endpoint, source] : m_sources) {
        if (source.dataCentre == dataCentre && isReachable(source, now)) {
            addRecords(source.hosts, records);
        }
    }
    return newestOfEachHost(std::move(records));
}

void fleet_view::addRecords(const std::map<core::host_name, host_record> &hosts,
                            std::vector<host_record> &records)
{
    for (const auto &[host, record] : hosts) {
        records.push_back(record);
    }
}

std::vector<core::endpoint> fleet_view::sources() const
{
    std::vector<core::endpoint> listed;
    for (const auto &[endpoint, source] : m_sources) {
        listed.push_back(endpoint);
    }
    return listed;
}

void fleet_view::setConfigured(const std::vector<core::endpoint> &configured)
{
    for (auto &[endpoint, source] : m_sources) {
        source.isConfigured = false;
    }
    for (const core::endpoint &each : configured) {
        m_sources[each].isConfigured = true;
    }
}

} // namespace jackdawweir::fleet
