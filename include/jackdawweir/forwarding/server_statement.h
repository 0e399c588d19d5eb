// What a backend server states about itself in the headers of its responses: the requests per
// second that it takes from all hosts together, and that it is leaving.
//
//     statement_tracker statements;
//     for (const statement_event each : statements.apply(response.headers, names, true)) { ... }
//     const double limit = statements.current().requestsPerSecond;

#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/forwarding/header_names.h"
#include "jackdawweir/http/message.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::forwarding {

struct server_statement {
    // Zero while the server states no limit.
    double requestsPerSecond = 0;
    bool isLeaving = false;
    // The wall time of the start of the server that states this; zero if it does not report it.
    std::chrono::milliseconds startedAt{0};

    friend bool operator==(const server_statement &, const server_statement &) = default;

    MSGPACK_DEFINE_ARRAY(requestsPerSecond, isLeaving, startedAt)
};

enum class statement_event : std::uint8_t {
    LimitStated, // The first limit, or the first one after a limit has ended.
    LimitChanged, // The limit differs notably from the one that was last reported.
    LimitEnded,
    LeaveStated, // The server is leaving; it never takes new requests again.
    Malformed, // A value that is no statement was ignored.
    LimitAdopted, // Another node stated a limit that an earlier process of this node had read.
};

const char *toString(statement_event event);

class statement_tracker
{
public:
    explicit statement_tracker(std::chrono::milliseconds startedAt = std::chrono::milliseconds(0));

    // Reads the headers of a response of the server. If `isOwnAnswer` is false, the response only
    // refuses a request, and a limit that it does not state continues to hold.
    std::vector<statement_event>
    apply(const http::header_list &headers, const header_names &names, bool isOwnAnswer);

    // Adopts the limit that another node knows from earlier responses of this start of the server.
    // It holds until the first response to this process. Of several ones, the lowest holds.
    std::vector<statement_event> adopt(const server_statement &known);

    const server_statement &current() const;

private:
    void applyLimit(double requestsPerSecond, std::vector<statement_event> &events);
    void endLimit(std::vector<statement_event> &events);

    server_statement m_current;
    // The limit that was last reported as an event.
    double m_reportedLimit = 0;
    bool m_hasAnswered = false;
};

} // namespace jackdawweir::forwarding
