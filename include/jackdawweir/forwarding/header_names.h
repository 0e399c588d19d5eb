// Names of the headers between callers, nodes and backend servers. The defaults are this project's
// own names; a platform with other names sets them.

#pragma once

#include <string>
#include <vector>

namespace jackdawweir::forwarding {

struct header_names {
    std::string requestId = "Jackdawweir-Request-Id";
    // The milliseconds until the caller's deadline.
    std::string deadline = "Jackdawweir-Deadline-Ms";
    // The service of the host where the request began.
    std::string callerService = "Jackdawweir-Caller";
    // The only backend server that may run the request.
    std::string expectedInstance = "Jackdawweir-Expect-Instance";
    // On a response: the request did not run.
    std::string notRun = "Jackdawweir-Not-Run";
    // On a response: the requests per second that the server takes from all hosts together. The
    // first of these names that a response has counts.
    std::vector<std::string> serverLimit{"Jackdawweir-Server-Limit"};
    // On a response: the server is leaving.
    std::vector<std::string> serverLeaving{"Jackdawweir-Server-Leaving"};
    // The header with the API key of a caller, and the scheme that stands before the key. No
    // backend server gets this header while the policy holds workspaces.
    std::string apiKey = "Authorization";
    std::string apiKeyScheme = "Bearer";
    // The name of the workspace that holds the caller's API key.
    std::string workspace = "Jackdawweir-Workspace";
    // On the response to a health check: the name of the server, and the milliseconds for which it
    // is still cold.
    std::string instance = "Jackdawweir-Instance";
    std::string coldFor = "Jackdawweir-Cold-Ms";
};

} // namespace jackdawweir::forwarding
