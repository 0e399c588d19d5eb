// What operators sent, what they were told, what they read, and how probe requests were handled.
// It is filled by several threads and judged after the run.
//
//     configuration_history history;
//     const std::size_t id = history.nextId();
//     history.addSent(change);
//     history.addAnswer(id, 200);

#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "platform_soak/configuration_change.h"
#include "platform_soak/disruption_log.h"

namespace jackdawweir::platform_soak {

struct sent_change {
    configuration_change change;
    soak_time sentAt;
    std::optional<soak_time> acknowledgedAt;
    // The status of the first clear refusal.
    std::optional<int> refusedWith;
};

struct configuration_read {
    soak_time sentAt;
    int source = 0;
    std::string text;
};

// How one request was handled at a node.
struct probe_result {
    int node = 0;
    std::string prefix;
    time_span span;
    // 0 where there was no response.
    unsigned status = 0;
    // The node of the server that ran the request, and its service; none where none ran it.
    std::optional<int> serverNode;
    std::string service;
};

class configuration_history
{
public:
    // Returns an id that no other change of the run has.
    std::size_t nextId();
    void addSent(const configuration_change &change);
    // Records a clear answer to a change: 200, or a 4xx other than 408 and 429.
    void addAnswer(std::size_t id, int status);
    void addRead(configuration_read read);
    void addProbe(probe_result probe);

    // Returns the change with this text; none where it was never sent.
    std::optional<configuration_change> find(const std::string &text) const;
    // Returns prefixes of routes that the latest changes added, removed or re-targeted, those of
    // refused changes too.
    std::vector<std::string> recentPrefixes() const;
    std::size_t acknowledgedCount() const;
    std::uint64_t newestAcknowledgedVersion() const;

    std::vector<sent_change> changes() const;
    std::vector<configuration_read> reads() const;
    std::vector<probe_result> probes() const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_nextId = 0;
    std::vector<sent_change> m_changes;
    std::vector<configuration_read> m_reads;
    std::vector<probe_result> m_probes;
};

} // namespace jackdawweir::platform_soak
