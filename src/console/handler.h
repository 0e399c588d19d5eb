// Dispatches a request to the API or to the pages.

#pragma once

#include <mutex>
#include <string>

#include "console/http.h"
#include "jackdawweir/console/control_plane.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::console::internal {

class request_handler
{
public:
    request_handler(std::string token, control_plane &plane);

    // Thread-safe.
    http_response handle(const http_request &request);

private:
    // Returns a random id for the submission that a preview page offers. Sending the page's form
    // twice repeats the id and therefore counts as one submission.
    std::string newSubmissionId();

    std::string m_token;
    control_plane &m_plane;
    std::mutex m_mutex;
    core::random_engine m_engine;
};

} // namespace jackdawweir::console::internal
