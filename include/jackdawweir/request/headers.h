// Names of the HTTP headers that nodes, callers and backend servers exchange.

#pragma once

namespace jackdawweir::request {

// On a response: "done", "not-run" or "unknown".
constexpr const char *outcomeHeader = "Jackdawweir-Outcome";
// On a response that does not come from a backend server: the reason, in one line.
constexpr const char *reasonHeader = "Jackdawweir-Reason";
// On a response: the component that failed, one of the names of failure_origin.
constexpr const char *originHeader = "Jackdawweir-Origin";
// On a request, echoed on its response; a response with another id belongs to another request.
constexpr const char *requestIdHeader = "Jackdawweir-Request-Id";
// On a request: the number of milliseconds for which the caller still waits.
constexpr const char *deadlineHeader = "Jackdawweir-Deadline-Ms";
// On a request: the number of nodes it has passed through. Absent on a request from outside.
constexpr const char *attemptLevelHeader = "Jackdawweir-Attempt-Level";
// On a non-idempotent request: "<unix seconds>-<random>"; a resend carries the same one.
constexpr const char *requestKeyHeader = "Jackdawweir-Request-Key";
// On a request: the name of the caller. If absent, the caller's address is used instead.
constexpr const char *callerHeader = "Jackdawweir-Caller";
// On a response of a backend server: the number of requests that it is running or has queued.
constexpr const char *loadHeader = "Jackdawweir-Load";

} // namespace jackdawweir::request
