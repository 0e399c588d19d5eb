// Errors and results.
//
// A function that can fail returns result<T>, a variant of the value and an error that names the
// step that failed and the peer involved:
//
//     result<document> parsed = parseDocument(text);
//     if (const error *failure = errorIn(parsed)) {
//         return *failure;
//     }
//     use(valueIn(parsed));

#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace jackdawweir::core {

// The kind of an error, for callers that handle some kinds differently.
enum class error_code : std::uint8_t {
    InvalidArgument, // The input is invalid; a retry gives the same error.
    Conflict, // Another change was accepted first.
    NotLeader, // This replica holds no leader lease.
    Unavailable, // A peer or a quorum could not be reached; a retry is safe.
    DeadlineExceeded, // The deadline passed; the outcome may be unknown.
    ResourceExhausted, // A limit was reached.
    DataLoss, // Stored or received data failed a check.
    PermissionDenied, // The operator token is missing or wrong.
    NotFound, // The named object does not exist.
    Internal, // A defect in this program.
};

// Returns the name of the code in lower case with hyphens, as logs print it.
const char *toString(error_code code);

// An error with the step that failed and the peer involved. The peer is empty for a local step.
struct error {
    error_code code = error_code::Internal;
    std::string step;
    std::string peer;
    std::string message;

    friend bool operator==(const error &, const error &) = default;
};

// Formats an error as "step peer: code: message" for logs and command output.
std::string toString(const error &failure);

template<typename Value>
using result = std::variant<Value, error>;

// The result of a step that returns no value.
using status = result<std::monostate>;

inline status okStatus()
{
    return std::monostate{};
}

template<typename Value>
bool isOk(const result<Value> &outcome)
{
    return outcome.index() == 0;
}

// Returns the error, or nullptr when the result holds a value.
template<typename Value>
const error *errorIn(const result<Value> &outcome)
{
    return std::get_if<1>(&outcome);
}

// Returns the value. Callers must check first that the result holds one.
template<typename Value>
const Value &valueIn(const result<Value> &outcome)
{
    return std::get<0>(outcome);
}

template<typename Value>
Value &&valueIn(result<Value> &&outcome)
{
    return std::get<0>(std::move(outcome));
}

} // namespace jackdawweir::core
