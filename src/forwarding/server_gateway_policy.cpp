// The part of server_gateway that keeps evacuations and the limits of cold servers.

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "forwarding/server_gateway_state.h"

namespace jackdawweir::forwarding {

namespace {

using std::chrono::milliseconds;

// A longer cold time in a response is taken for malformed.
constexpr milliseconds longestCold = std::chrono::hours(1);

// Returns the cold time that the response to a health check states, or nothing if it cannot be
// read. A warm server states none.
std::optional<milliseconds> readColdFor(const http::response &received, const header_names &names)
{
    const std::string *text = http::findHeader(received.headers, names.coldFor);
    if (text == nullptr) {
        return milliseconds(0);
    }
    double millis = 0;
    const char *end = text->data() + text->size();
    const auto [parsedEnd, failure] = std::from_chars(text->data(), end, millis);
    const bool isValid = failure == std::errc() && parsedEnd == end && millis >= 0
        && millis <= static_cast<double>(longestCold.count());
    return isValid ? std::optional(
               std::chrono::ceil<milliseconds>(std::chrono::duration<double, std::milli>(millis)))
                   : std::nullopt;
}

} // namespace

void server_gateway::setPolicy(gateway_policy policy, core::monotonic_time now)
{
    const std::uint64_t previousEnd = m_policy ? m_policy->evacuationEnd : 0;
    const bool hasReturned = policy.evacuationEnd > previousEnd;
    m_policy = std::move(policy);
    const auto servers = m_servers;
    for (const auto &[instance, server] : servers) {
        if (hasReturned && coldRuleOf(*server).requestsPerSecond > 0) {
            // A server without requests may have become cold.
            server->cold.suspect(now);
        }
        updateCold(server, now);
        if (refusalFor(instance, now)) {
            apply(server, server->admission.refuseAll());
        }
    }
}

void server_gateway::recordAnnouncement(const fleet::instance_name &instance,
                                        milliseconds coldFor,
                                        core::monotonic_time now)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        found->second->cold.announced(coldFor, now);
        updateCold(found->second, now);
    }
}

milliseconds server_gateway::coldFor(const fleet::instance_name &instance,
                                     core::monotonic_time now) const
{
    const auto found = m_servers.find(instance);
    return found == m_servers.end() ? milliseconds(0) : found->second->cold.remaining(now);
}

bool server_gateway::isEvacuated() const
{
    return m_policy && m_policy->isEvacuated;
}

std::size_t server_gateway::coldServers(core::monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [now](const auto &each) {
            return each.second->cold.isCold(now);
        }));
}

cold_rule server_gateway::coldRuleOf(const local_server &server) const
{
    if (!m_policy) {
        return cold_rule{};
    }
    const auto found = m_policy->coldRules.find(server.record.service);
    return found == m_policy->coldRules.end() ? cold_rule{} : found->second;
}

// Before the first view the rate of a cold server is not known.
bool server_gateway::isColdRateUnknown(const local_server &server, core::monotonic_time now) const
{
    return !m_policy && server.cold.isCold(now);
}

double server_gateway::limitInForce(const local_server &server, core::monotonic_time now) const
{
    const double stated = server.statements.current().requestsPerSecond;
    const double cold = server.cold.isCold(now) ? coldRuleOf(server).requestsPerSecond : 0;
    if (stated <= 0 || cold <= 0) {
        return std::max(stated, cold);
    }
    return std::min(stated, cold);
}

void server_gateway::updateLimit(local_server &server, core::monotonic_time now)
{
    const double limit = limitInForce(server, now);
    if (limit != std::exchange(server.limitPerSecond, limit)) {
        server.admission.setRate(limit, now);
    }
}

void server_gateway::updateCold(const server_pointer &server, core::monotonic_time now)
{
    updateLimit(*server, now);
    const bool isCold = server->cold.isCold(now);
    if (std::exchange(server->wasCold, isCold) != isCold) {
        m_hooks.coldChanged(cold_change{server->record.instance,
                                        isCold,
                                        server->cold.isUncertain(),
                                        server->cold.remaining(now),
                                        server->limitPerSecond});
    }
    checkHealth(server, now);
}

// Asks a server that may have become cold. The check needs no permit: it is not a request.
void server_gateway::checkHealth(const server_pointer &server, core::monotonic_time now)
{
    const std::string path = coldRuleOf(*server).healthPath;
    if (!server->cold.isUncertain() || isEvacuated() || server->isAbsent || path.empty()) {
        endHealthCheck(*server);
        return;
    }
    if (server->healthCheck != nullptr) {
        if (now < server->healthCheckedAt + m_settings.healthTimeout) {
            return;
        }
        endHealthCheck(*server);
    }
    if (now < server->healthCheckedAt + m_settings.healthInterval) {
        return;
    }
    server->healthCheckedAt = now;
    const http::response_identity expected{m_settings.headers.instance,
                                           server->record.instance.value};
    const auto connection = std::make_shared<http::client_connection>(
        m_context, server->record.address, m_settings.client, m_clock);
    server->healthCheck = connection;
    connection->send(
        http::request{"GET", path, {{"Host", server->record.address.value}}, ""},
        expected,
        [] { return true; },
        [this, server, connection](const http::client_result &result) {
            handleHealth(server, connection, result);
        });
}

void server_gateway::handleHealth(const server_pointer &server,
                                  const std::shared_ptr<http::client_connection> &used,
                                  const http::client_result &result)
{
    if (server->healthCheck != used) {
        used->close();
        return;
    }
    server->healthCheck.reset();
    const core::monotonic_time now = m_clock.monotonicNow();
    const auto *received = std::get_if<http::response>(&result);
    if (received == nullptr) {
        used->close();
        return;
    }
    const bool namesServer
        = http::findHeader(received->headers, m_settings.headers.instance) != nullptr;
    const std::optional<milliseconds> coldFor = readColdFor(*received, m_settings.headers);
    returnConnection(used, *server);
    if (namesServer && coldFor) {
        server->cold.checked(*coldFor, now);
        updateCold(server, now);
    }
}

void server_gateway::endHealthCheck(local_server &server)
{
    if (server.healthCheck != nullptr) {
        server.healthCheck->close();
        server.healthCheck.reset();
    }
}

} // namespace jackdawweir::forwarding
