// The part of soak_run that checks what callers, backend servers and the operator saw.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "platform_soak/configuration_checks.h"
#include "platform_soak/soak_run.h"

namespace jackdawweir::platform_soak {

namespace {

using platform_process_test::call_response;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The time that the platform allows for recovery after all faults have ended.
constexpr seconds recoveryTimeout{15};

} // namespace

void soak_run::checkRecovery()
{
    const soak_clock::time_point until = soak_clock::now() + recoveryTimeout;
    for (int node = 1; node <= nodeCount; ++node) {
        call_response reply;
        do {
            reply = m_fleet.request(node, "GET", "/stock/1");
            std::this_thread::sleep_for(milliseconds(50));
        } while (reply.status != 200 && soak_clock::now() < until);
        if (reply.status != 200) {
            addViolation("node " + std::to_string(node) + " serves nothing after all faults ended: "
                         + std::to_string(reply.status));
        }
    }
    checkReachability(until);
}

void soak_run::checkReachability(soak_clock::time_point until)
{
    const std::string noneUnreachable = "jackdawweir_mesh_unreachable_nodes 0\n";
    for (int node = 1; node <= nodeCount; ++node) {
        const auto reachesAll = [&] {
            return m_fleet.metricsOf(node).find(noneUnreachable) != std::string::npos;
        };
        bool isReached = reachesAll();
        while (!isReached && soak_clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(50));
            isReached = reachesAll();
        }
        if (!isReached) {
            addViolation("node " + std::to_string(node)
                         + " sends some listed nodes no requests after all faults ended");
        }
    }
}

// Only the node beside a server sends it requests, so a server is safe while that node is in touch,
// whatever the other nodes know.
void soak_run::checkEvacuations()
{
    // evacuationS of the small sites.
    constexpr milliseconds bound{5'000};
    for (const evacuation_span &span : m_evacuations.spans()) {
        for (int node = 1; node <= nodeCount; ++node) {
            if (m_fleet.dataCentreOf(node) != span.dataCentre) {
                continue;
            }
            const std::string ip = m_fleet.nodeIp(node);
            std::size_t late = 0;
            for (const soak_time at : m_backends[static_cast<std::size_t>(node) - 1]->arrivals()) {
                const bool isLate = at > span.acknowledgedAt + bound && at < span.endSentAt;
                late += isLate && m_disruptions.isUndisturbed(ip, {at, at})
                        && m_disruptions.isCoreStable({at, at})
                    ? 1
                    : 0;
            }
            if (late > 0) {
                addViolation(std::to_string(late) + " requests reached the server beside node "
                             + std::to_string(node) + " while data centre " + span.dataCentre
                             + " was evacuated");
            }
        }
    }
}

// Kills all sources at once, as a power failure does. What was accepted must still be there
// afterwards.
void soak_run::checkReadAfterRestart()
{
    for (const std::string &source : sourcesOf(m_fleet)) {
        m_control.kill(source);
    }
    for (const std::string &source : sourcesOf(m_fleet)) {
        m_control.start(source);
    }
    const soak_clock::time_point until = soak_clock::now() + recoveryTimeout;
    std::optional<configuration_change> held;
    while (!held && soak_clock::now() < until) {
        held = m_operator.read(1);
        std::this_thread::sleep_for(milliseconds(50));
    }
    if (held) {
        checkConfigurations(held->id);
    } else {
        addViolation("no configuration can be read after the final restart");
    }
}

void soak_run::checkConfigurations(std::size_t newest)
{
    configuration_checks checks(m_history, m_disruptions, m_fleet);
    for (std::string &line : checks.violations(newest)) {
        m_journal.write("event=violation " + line);
        addViolation(std::move(line));
    }
    m_boundedProbes = checks.boundedProbes();
}

void soak_run::checkResponses()
{
    const std::map<std::string, int> runs = m_runs.counts();
    const std::lock_guard lock(m_mutex);
    for (const observed_response &observed : m_responses) {
        const auto found = runs.find(observed.id);
        const int count = found == runs.end() ? 0 : found->second;
        const bool isOrder = observed.target.starts_with("/order/");
        const bool saysNotRun = observed.status == 429 || observed.status == 503
            || observed.status == 408 || observed.status == 421;
        const std::string what = observed.id + " " + observed.target + " status "
            + std::to_string(observed.status) + " ran " + std::to_string(count) + " times";
        if (isOrder && count > 1) {
            m_violations.push_back("ran more than once: " + what);
        }
        if (isOrder && saysNotRun && count > 0) {
            m_violations.push_back("was refused and ran: " + what);
        }
        if (observed.status == 200
            && (observed.body != observed.id + " " + observed.target || count == 0)) {
            m_violations.push_back("got another answer: " + what + " body " + observed.body);
        }
        if (observed.status == 404) {
            m_violations.push_back("was denied: " + what);
        }
    }
}

void soak_run::checkLeaves()
{
    for (const auto &each : m_backends) {
        for (const std::string &line : each->lateRequests()) {
            addViolation(line);
        }
    }
}

} // namespace jackdawweir::platform_soak
