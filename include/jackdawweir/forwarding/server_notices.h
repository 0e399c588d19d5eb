// What the backend servers of other nodes have stated in answers that this node passed on. It
// outlasts the process of the node beside a server, which would otherwise have to learn the limit
// of the server anew, and a leave that this process was told of binds this node in any case.
//
//     server_notices notices;
//     notices.record(instance, answer.load.stated, now);
//     if (notices.isLeaving(instance, startedAt)) { /* not chosen */ }

#pragma once

#include <chrono>
#include <map>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/forwarding/server_statement.h"

namespace jackdawweir::forwarding {

struct server_notice_settings {
    // A notice is forgotten this long after the last answer that confirmed it: longer than a
    // leaving server keeps running and than a node is down for.
    std::chrono::milliseconds retention{60'000};
};

class server_notices
{
public:
    explicit server_notices(const server_notice_settings &settings = {});

    // Records what the server states. A statement of an earlier start than the known one is
    // ignored.
    void record(const fleet::instance_name &instance,
                const server_statement &stated,
                core::monotonic_time now);

    // Returns what this start of the server has stated last.
    server_statement find(const fleet::instance_name &instance,
                          std::chrono::milliseconds startedAt) const;

    // Returns true if this start of the server has stated that it is leaving.
    bool isLeaving(const fleet::instance_name &instance, std::chrono::milliseconds startedAt) const;

    void expire(core::monotonic_time now);

private:
    struct notice {
        server_statement stated;
        core::monotonic_time recordedAt;
    };

    server_notice_settings m_settings;
    std::map<fleet::instance_name, notice> m_notices;
};

} // namespace jackdawweir::forwarding
