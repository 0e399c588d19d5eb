#include "jackdawweir/core/error.h"

#include <absl/strings/str_cat.h>

namespace jackdawweir::core {

const char *toString(error_code code)
{
    switch (code) {
    case error_code::InvalidArgument:
        return "invalid-argument";
    case error_code::Conflict:
        return "conflict";
    case error_code::NotLeader:
        return "not-leader";
    case error_code::Unavailable:
        return "unavailable";
    case error_code::DeadlineExceeded:
        return "deadline-exceeded";
    case error_code::ResourceExhausted:
        return "resource-exhausted";
    case error_code::DataLoss:
        return "data-loss";
    case error_code::PermissionDenied:
        return "permission-denied";
    case error_code::NotFound:
        return "not-found";
    case error_code::Internal:
        return "internal";
    }
    return "unknown";
}

std::string toString(const error &failure)
{
    const std::string peer = failure.peer.empty() ? std::string() : absl::StrCat(" ", failure.peer);
    return absl::StrCat(failure.step, peer, ": ", toString(failure.code), ": ", failure.message);
}

} // namespace jackdawweir::core
