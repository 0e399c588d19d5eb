// Status codes of HTTP responses.

#pragma once

namespace jackdawweir::http::status {

constexpr unsigned ok = 200;
constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned requestTimeout = 408;
constexpr unsigned conflict = 409;
constexpr unsigned preconditionFailed = 412;
constexpr unsigned contentTooLarge = 413;
constexpr unsigned misdirected = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned headersTooLarge = 431;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

// Returns true for the status codes that a response to a request without Upgrade may have.
constexpr bool isValid(unsigned code)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    constexpr unsigned switchingProtocols = 101;
    return code >= first && code <= last && code != switchingProtocols;
}

// Returns true for the status codes of responses that another one follows.
constexpr bool isInterim(unsigned code)
{
    constexpr unsigned firstFinal = 200;
    return code < firstFinal;
}

// Returns true for the status codes of server errors, which are 500 and above.
constexpr bool isServerError(unsigned code)
{
    constexpr unsigned firstServerError = 500;
    return code >= firstServerError;
}

} // namespace jackdawweir::http::status
