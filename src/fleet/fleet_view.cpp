#include "jackdawweir/fleet/fleet_view.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::fleet {

fleet_view::fleet_view(const fleet_view_settings &settings)
    : m_settings(settings)
{
}

bool fleet_view::apply(const core::endpoint &source,
                       const source_update &update,
                       core::monotonic_time now)
{
    for (const core::endpoint &mentioned : update.sources) {
        m_sources[mentioned].mentionedAt = now;
    }
    known_source &known = m_sources[source];
    known.heardAt = now;
    known.dataCentre = update.dataCentre;
    if (update.revision != known.revision) {
        known.revision = update.revision;
        known.revisionAt = now;
    }
    known.hasDirectory = update.hasDirectory;
    if (!update.hasDirectory) {
        known.directory = directory_position{};
        return std::exchange(known.hosts, {}).size() > 0;
    }
    const bool isOther = known.directory.epoch != update.directoryEpoch;
    if (isOther && !update.isWhole) {
        return false;
    }
    if (!isOther && update.directoryNumber < known.directory.number) {
        return false;
    }
    if (update.isWhole && known.directory.epoch != 0 && isOther) {
        known.carried = known.hosts;
        known.carriedUntil = now + m_settings.carryOver;
    }
    takeDirectory(update, known);
    return update.isWhole || !update.changed.empty() || !update.removed.empty();
}

void fleet_view::takeDirectory(const source_update &update, known_source &known)
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

bool fleet_view::wantsDirectory(const core::endpoint &source,
                                const core::data_centre_name &ownDataCentre,
                                core::monotonic_time now) const
{
    bool hearsOwn = false;
    bool isOwn = false;
    for (const auto &[endpoint, known] : m_sources) {
        const bool isOfOwn = known.dataCentre == ownDataCentre;
        isOwn = isOwn || (isOfOwn && endpoint == source);
        hearsOwn = hearsOwn || (isOfOwn && wasHeardWithin(known, m_settings.ownSourceSilence, now));
    }
    return isOwn || !hearsOwn;
}

bool fleet_view::refresh(core::monotonic_time now)
{
    bool isChanged = false;
    for (auto &[endpoint, source] : m_sources) {
        const bool hears = isHeard(source, now);
        isChanged = isChanged || hears != source.wasHeard;
        source.wasHeard = hears;
        if (!source.carried.empty() && now >= source.carriedUntil) {
            source.carried.clear();
            isChanged = true;
        }
    }
    std::erase_if(m_sources, [&](const auto &each) {
        const known_source &source = each.second;
        const core::monotonic_time last = std::max(source.heardAt, source.mentionedAt);
        return !source.isConfigured && now >= last + m_settings.forgetSourceAfter;
    });
    return isChanged;
}

directory_position fleet_view::directoryPosition(const core::endpoint &source) const
{
    const auto found = m_sources.find(source);
    return found == m_sources.end() ? directory_position{} : found->second.directory;
}

bool fleet_view::wasHeardWithin(const known_source &source,
                                std::chrono::milliseconds silence,
                                core::monotonic_time now)
{
    return source.heardAt != core::monotonic_time{} && now < source.heardAt + silence;
}

bool fleet_view::isHeard(const known_source &source, core::monotonic_time now) const
{
    return wasHeardWithin(source, m_settings.sourceSilence, now);
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
        if (!isHeard(source, now)) {
            continue;
        }
        const bool isOwn = source.dataCentre == ownDataCentre;
        hasOwnSource = hasOwnSource || isOwn;
        if (source.revision <= revision) {
            continue;
        }
        hasWaited = hasWaited || now >= source.revisionAt + m_settings.waitForOwn;
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
        return isHeard(each.second, now);
    });
}

std::vector<host_record> fleet_view::hosts(core::monotonic_time now) const
{
    const bool hears = std::any_of(m_sources.begin(), m_sources.end(), [&](const auto &each) {
        return each.second.hasDirectory && isHeard(each.second, now);
    });
    newest_records newest;
    for (const auto &[endpoint, source] : m_sources) {
        if (!hears || isHeard(source, now)) {
            addRecords(source.hosts, newest);
            addRecords(source.carried, newest);
        }
    }
    std::vector<host_record> listed;
    listed.reserve(newest.size());
    for (const auto &[host, record] : newest) {
        listed.push_back(*record);
    }
    return listed;
}

void fleet_view::addRecords(const std::map<core::host_name, host_record> &records,
                            newest_records &newest)
{
    for (const auto &[host, record] : records) {
        const host_record *&held = newest[host];
        if (held == nullptr || isNewer(record, *held)) {
            held = &record;
        }
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
