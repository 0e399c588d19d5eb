#include "platform_soak/configuration_checks.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace jackdawweir::platform_soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the small sites: configApplyS, maxSkewS, rollbackSlackS and ackTimeoutS.
constexpr seconds applyTime{2};
constexpr seconds unstableCoreStretch{5};
constexpr milliseconds rollbackSlack{250};
constexpr seconds answerTime{4};

constexpr unsigned notFound = 404;

std::string millisBetween(soak_time from, soak_time to)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(to - from).count()) + " ms";
}

bool isFirstRoute(const std::string &prefix)
{
    return prefix == "/stock/";
}

// Converts a time to that of the logs, in microseconds since 1970.
std::string logTime(soak_time at)
{
    const auto wall = std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(
                          at - std::chrono::steady_clock::now());
    return std::to_string(
        std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch()).count());
}

} // namespace

configuration_checks::configuration_checks(const configuration_history &history,
                                           const disruption_log &disruptions,
                                           const platform_process_test::mesh_fleet &fleet)
    : m_disruptions(disruptions)
    , m_fleet(fleet)
    , m_changes(history.changes())
    , m_reads(history.reads())
    , m_probes(history.probes())
{
}

std::array<std::size_t, 2> configuration_checks::boundedProbes() const
{
    return m_bounded;
}

std::vector<std::string> configuration_checks::violations(std::size_t newest)
{
    findLine(newest);
    checkChanges();
    checkAnswerTimes();
    checkReads();
    for (const probe_result &probe : m_probes) {
        checkProbe(probe);
    }
    checkRegressions();
    checkAddedRoutes();
    return m_violations;
}

void configuration_checks::findLine(std::size_t newest)
{
    std::optional<std::size_t> next = newest;
    while (next) {
        const auto found = std::find_if(m_changes.begin(), m_changes.end(), [&](const auto &each) {
            return each.change.id == *next;
        });
        m_line.push_back(static_cast<std::size_t>(found - m_changes.begin()));
        next = found->change.base;
    }
    std::reverse(m_line.begin(), m_line.end());
    for (std::size_t position = 0; position < m_line.size(); ++position) {
        m_positions[m_line[position]] = position;
    }
}

std::string configuration_checks::describe(std::size_t position) const
{
    const sent_change &sent = m_changes[m_line[position]];
    return "c" + std::to_string(sent.change.id) + " (r" + std::to_string(sent.change.version) + ")";
}

std::string configuration_checks::describe(const probe_result &probe) const
{
    return probe.prefix + " at node " + std::to_string(probe.node) + ", sent at "
        + logTime(probe.span.from) + ", answered after "
        + millisBetween(probe.span.from, probe.span.to) + ": "
        + (probe.serverNode
               ? "run by " + probe.service + " at node " + std::to_string(*probe.serverNode)
               : "status " + std::to_string(probe.status));
}

// An acknowledged change stays in the line; a refused or invalid one is never in it.
void configuration_checks::checkChanges()
{
    for (std::size_t index = 0; index < m_changes.size(); ++index) {
        const sent_change &sent = m_changes[index];
        const bool isInLine = m_positions.contains(index);
        const std::string what = "change c" + std::to_string(sent.change.id) + " (r"
            + std::to_string(sent.change.version) + " on r"
            + std::to_string(sent.change.baseVersion) + ", defect " + nameOf(sent.change.fault)
            + ")";
        if (sent.acknowledgedAt && sent.change.fault != defect::None) {
            m_violations.push_back("acknowledged an invalid " + what);
        } else if (sent.acknowledgedAt && !isInLine) {
            m_violations.push_back("acknowledged and not in force: " + what);
        }
        if (sent.refusedWith && (sent.acknowledgedAt || isInLine)) {
            m_violations.push_back("accepted and refused with " + std::to_string(*sent.refusedWith)
                                   + ": " + what);
        }
    }
}

// A valid change that is open for the acknowledgement time in one stretch with a stable core is
// answered by then. The last ones may have been given up by the end of the run.
void configuration_checks::checkAnswerTimes()
{
    constexpr milliseconds step{100};
    if (m_probes.empty()) {
        return;
    }
    const soak_time end = m_probes.back().span.from;
    for (const sent_change &sent : m_changes) {
        if (sent.change.fault != defect::None || sent.refusedWith) {
            continue;
        }
        const soak_time answered = sent.acknowledgedAt.value_or(end);
        for (soak_time from = sent.sentAt; from + answerTime < answered; from += step) {
            if (m_disruptions.isCoreStable({from, from + answerTime})) {
                m_violations.push_back(absl::StrCat("no answer to change c",
                                                    sent.change.id,
                                                    " for the acknowledgement time from ",
                                                    logTime(from),
                                                    " on, core stable"));
                break;
            }
        }
    }
}

std::size_t configuration_checks::newestAcknowledged(soak_time before) const
{
    std::size_t newest = 0;
    for (const auto &[index, position] : m_positions) {
        const std::optional<soak_time> &at = m_changes[index].acknowledgedAt;
        if (at && *at < before) {
            newest = std::max(newest, position);
        }
    }
    return newest;
}

// Reads are checked without the time to apply a change, as sources confirm each with a majority.
void configuration_checks::checkReads()
{
    constexpr std::size_t shownBytes = 80;
    for (const configuration_read &read : m_reads) {
        const std::string where
            = absl::StrCat(" at source ", read.source, ", sent at ", logTime(read.sentAt));
        const auto found = std::find_if(m_changes.begin(), m_changes.end(), [&](const auto &each) {
            return each.change.text == read.text;
        });
        if (found == m_changes.end()) {
            m_violations.push_back(absl::StrCat("read a configuration that was never sent",
                                                where,
                                                ": ",
                                                read.text.substr(0, shownBytes)));
            continue;
        }
        const auto position = m_positions.find(static_cast<std::size_t>(found - m_changes.begin()));
        const std::size_t newest = newestAcknowledged(read.sentAt);
        if (position == m_positions.end()) {
            m_violations.push_back(absl::StrCat(
                "read c", found->change.id, ", which is not in the line in force", where));
        } else if (position->second < newest) {
            m_violations.push_back(absl::StrCat("read c",
                                                found->change.id,
                                                " after ",
                                                describe(newest),
                                                " was acknowledged",
                                                where));
        }
    }
}

std::optional<std::string> configuration_checks::serviceAt(std::size_t position,
                                                           const std::string &prefix) const
{
    const configuration_change &change = m_changes[m_line[position]].change;
    if (isFirstRoute(prefix)) {
        return firstRouteService(change.version);
    }
    const auto found = change.routes.find(prefix);
    return found == change.routes.end() ? std::nullopt : std::optional(found->second);
}

bool configuration_checks::isHandled(const probe_result &probe) const
{
    return probe.serverNode.has_value() || probe.status == notFound;
}

std::optional<configuration_checks::allowed_positions>
configuration_checks::allowedPositions(const probe_result &probe) const
{
    std::optional<allowed_positions> allowed;
    for (std::size_t position = 0; position < m_line.size(); ++position) {
        const std::optional<std::string> service = serviceAt(position, probe.prefix);
        if (probe.serverNode ? service != probe.service : service.has_value()) {
            continue;
        }
        if (!allowed) {
            allowed = allowed_positions{position, position};
        }
        allowed->most = position;
    }
    return allowed;
}

std::size_t configuration_checks::requiredPosition(const probe_result &probe)
{
    const std::string machine = m_fleet.nodeIp(probe.node);
    if (!m_disruptions.isUndisturbed(machine, probe.span)
        || (probe.serverNode
            && !m_disruptions.isUndisturbed(m_fleet.nodeIp(*probe.serverNode), probe.span))) {
        return 0;
    }
    if (m_disruptions.isCoreStable(probe.span)) {
        ++m_bounded[0];
        return newestAcknowledged(probe.span.from - applyTime);
    }
    const soak_time stretched = probe.span.from - applyTime - unstableCoreStretch;
    const std::size_t newest = newestAcknowledged(stretched);
    const std::optional<soak_time> &at = m_changes[m_line[newest]].acknowledgedAt;
    if (!at || !m_disruptions.didMajorityRun({*at, probe.span.to})) {
        return 0;
    }
    ++m_bounded[1];
    return newest;
}

void configuration_checks::checkProbe(const probe_result &probe)
{
    if (!isHandled(probe)) {
        return;
    }
    const std::optional<allowed_positions> allowed = allowedPositions(probe);
    if (!allowed) {
        m_violations.push_back("no configuration in force allows: " + describe(probe));
        return;
    }
    const std::size_t required = requiredPosition(probe);
    if (allowed->most < required) {
        m_violations.push_back(
            "only configurations up to " + describe(allowed->most) + " allow, " + describe(required)
            + " was acknowledged "
            + millisBetween(*m_changes[m_line[required]].acknowledgedAt, probe.span.from)
            + " before: " + describe(probe));
    }
}

// A server's run shows that its caller's node had at least the oldest configuration that allows it.
void configuration_checks::checkRegressions()
{
    struct seen_effect {
        soak_time at;
        std::size_t position = 0;
    };
    std::map<std::pair<int, std::size_t>, std::vector<seen_effect>> seen;
    for (const probe_result &probe : m_probes) {
        const auto process = m_disruptions.incarnation(m_fleet.nodeIp(probe.node), probe.span);
        const auto allowed = allowedPositions(probe);
        if (process && probe.serverNode && allowed) {
            seen[{probe.node, *process}].push_back({probe.span.to, allowed->least});
        }
    }
    for (const probe_result &probe : m_probes) {
        const auto process = m_disruptions.incarnation(m_fleet.nodeIp(probe.node), probe.span);
        const auto allowed = allowedPositions(probe);
        if (!process || !isHandled(probe) || !allowed) {
            continue;
        }
        for (const seen_effect &each : seen[{probe.node, *process}]) {
            if (each.at + rollbackSlack < probe.span.from && allowed->most < each.position) {
                m_violations.push_back("only configurations up to " + describe(allowed->most)
                                       + " allow, a server saw " + describe(each.position) + " "
                                       + millisBetween(each.at, probe.span.from)
                                       + " before: " + describe(probe));
                break;
            }
        }
    }
}

std::optional<std::string> configuration_checks::certainService(const probe_result &probe) const
{
    std::size_t position = newestAcknowledged(probe.span.from - applyTime);
    std::optional<std::string> service = serviceAt(position, probe.prefix);
    while (service && ++position < m_line.size()
           && m_changes[m_line[position]].sentAt <= probe.span.to) {
        if (serviceAt(position, probe.prefix) != service) {
            return std::nullopt;
        }
    }
    return service;
}

// Requests on added routes are served at least a quarter as often as those on the first ones. Only
// times at which both lead to the same service are compared, as its servers come and go.
void configuration_checks::checkAddedRoutes()
{
    constexpr std::size_t leastRequests = 20;
    constexpr std::size_t leastShare = 4;
    std::map<std::string, std::array<served_counts, 2>> counts;
    for (const probe_result &probe : m_probes) {
        if (!m_disruptions.isUndisturbed(m_fleet.nodeIp(probe.node), probe.span)
            || !m_disruptions.isCoreStable(probe.span)) {
            continue;
        }
        const std::optional<std::string> service = certainService(probe);
        probe_result onFirstRoute = probe;
        onFirstRoute.prefix = "/stock/";
        if (service && service == certainService(onFirstRoute)) {
            served_counts &count = counts[*service].at(isFirstRoute(probe.prefix) ? 0 : 1);
            ++count.requests;
            count.served += probe.status == 200 ? 1 : 0;
        }
    }
    for (const auto &[service, both] : counts) {
        const auto &[first, added] = both;
        if (first.requests >= leastRequests && added.requests >= leastRequests
            && leastShare * added.served * first.requests < first.served * added.requests) {
            m_violations.push_back(
                "added routes to " + service + " served " + std::to_string(added.served) + " of "
                + std::to_string(added.requests) + ", first routes " + std::to_string(first.served)
                + " of " + std::to_string(first.requests));
        }
    }
}

} // namespace jackdawweir::platform_soak
