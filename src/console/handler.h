// Routes a request to the API or the pages.

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

    // Safe to call from several threads.
    http_response handle(const http_request &request);

private:
    // Returns an id for the submission that a preview page offers, so that sending the page's form
    // twice is one submission.
    std::string newSubmissionId();

    std::string m_token;
    control_plane &m_plane;
    std::mutex m_mutex;
    core::random_engine m_engine;
};

} // namespace jackdawweir::console::internal
