#include "jackdawweir/forwarding/messages.h"

namespace jackdawweir::forwarding {

const char *toString(forward_outcome outcome)
{
    switch (outcome) {
    case forward_outcome::Answered:
        return "answered";
    case forward_outcome::NotRun:
        return "not-run";
    case forward_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *toString(forward_reason reason)
{
    switch (reason) {
    case forward_reason::None:
        return "none";
    case forward_reason::Full:
        return "full";
    case forward_reason::ServerGone:
        return "server-gone";
    case forward_reason::Draining:
        return "draining";
    case forward_reason::Rejected:
        return "rejected";
    case forward_reason::Broken:
        return "broken";
    case forward_reason::LinkLost:
        return "link-lost";
    case forward_reason::Silent:
        return "silent";
    case forward_reason::Recalled:
        return "recalled";
    case forward_reason::Evacuated:
        return "evacuated";
    case forward_reason::Cold:
        return "cold";
    case forward_reason::CalledServiceFull:
        return "called-service-full";
    case forward_reason::Slow:
        return "slow";
    case forward_reason::OverShare:
        return "over-share";
    }
    return "none";
}

} // namespace jackdawweir::forwarding
