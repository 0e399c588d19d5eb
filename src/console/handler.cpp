#include "console/handler.h"

#include <random>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "console/api.h"
#include "console/pages.h"

namespace jackdawweir::console::internal {

request_handler::request_handler(std::string token, control_plane &plane)
    : m_token(std::move(token))
    , m_plane(plane)
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    m_engine.seed(seed);
}

http_response request_handler::handle(const http_request &request)
{
    if (absl::StartsWith(request.path, "/v1/") || request.path == "/metrics") {
        return handleApi(m_plane, m_token, request);
    }
    return handlePage(m_plane, m_token, newSubmissionId(), request);
}

std::string request_handler::newSubmissionId()
{
    const std::lock_guard guard(m_mutex);
    const std::uint64_t high = m_engine();
    const std::uint64_t low = m_engine();
    return absl::StrCat(
        "form-", absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
}

} // namespace jackdawweir::console::internal
