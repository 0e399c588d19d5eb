// Classifies one attempt at a backend server by what the node has observed of it.
//
//     attempt_facts facts;
//     facts.bytesWritten = 0;
//     classify(facts).outcome;   // request_outcome::NotRun

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jackdawweir::request {

// What a caller may conclude about the execution of its request.
enum class request_outcome : std::uint8_t {
    Done, // The response is complete and belongs to the request.
    NotRun, // The request was not run and can't run later.
    Unknown, // The request may have run.
};

// The component that caused a failure. Only Server counts against a backend server version.
enum class failure_origin : std::uint8_t {
    None,
    Server, // The backend server itself.
    FurtherDown, // A service that the backend server called.
    Overload, // The server refused the request because it had no capacity.
    ColdStart, // The server has just started.
    Draining, // The server is leaving and refused the request.
    Caller, // The caller disconnected or left too little time.
};

enum class attempt_fault : std::uint8_t {
    None,
    Refused, // No byte of the request was sent.
    ErrorStatus,
    Crossed, // The response belongs to another request.
    Truncated,
    TimedOut,
    Cancelled, // The node ended the attempt itself, for example because the caller disconnected.
};

// What a node has observed of an attempt when it ends.
struct attempt_facts {
    // Bytes of the request written to the connection, whether or not the server read them.
    std::uint64_t bytesWritten = 0;
    bool timedOut = false;
    bool cancelled = false;
    // Set if the status line and headers of a response were read.
    std::optional<int> status;
    bool responseIdMatches = false;
    bool responseComplete = false;
    // The response requests that the connection be closed.
    bool connectionCloses = false;
    // From outcomeHeader and originHeader of the response.
    std::optional<request_outcome> declaredOutcome;
    std::optional<failure_origin> declaredOrigin;
    // The server was in slow start when it was selected.
    bool serverIsCold = false;
    // All slots of the server were in use when it was selected, according to its own report or this
    // node's count. A 503 without jackdawweir's headers counts as overload only then, so that the
    // faults of a bad version are not taken for overload.
    bool serverIsBusy = false;
};

struct attempt_outcome {
    request_outcome outcome = request_outcome::Unknown;
    attempt_fault fault = attempt_fault::None;
    failure_origin origin = failure_origin::None;
    // The response may be sent to the caller.
    bool forwardResponse = false;
    // The connection may carry another request.
    bool reuseConnection = false;
};

attempt_outcome classify(const attempt_facts &facts);

// Return the names that are used in the headers.
const char *toString(request_outcome outcome);
const char *toString(failure_origin origin);
const char *toString(attempt_fault fault);

// Returns nothing for an unknown name.
std::optional<request_outcome> parseRequestOutcome(std::string_view name);
std::optional<failure_origin> parseFailureOrigin(std::string_view name);

} // namespace jackdawweir::request
