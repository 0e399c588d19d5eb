// Decides when the link to a peer that no longer replies is replaced. A link may stay open without
// carrying anything, and its data may even be acknowledged by something in between, so only the
// replies of the peer show that it works.
//
//     reply_watch watch;
//     if (watch.takeOverdue(now)) { transport.closeLink(peer); }
//     watch.sent(now);
//     watch.received();

#pragma once

#include <chrono>
#include <optional>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::fleet {

struct reply_watch_settings {
    // Two messages without a reply and a pause of the peer's process.
    std::chrono::milliseconds timeout{1'000};
    // The timeout doubles up to this while no reply comes, so that processes that wait for one that
    // is overloaded or gone do not keep it busy with new links.
    std::chrono::milliseconds maxTimeout{8'000};
};

// The replies of one peer.
class reply_watch
{
public:
    reply_watch() = default;
    explicit reply_watch(const reply_watch_settings &settings);

    // Records a message that the peer replies to.
    void sent(core::monotonic_time now);

    void received();

    // Returns true if a reply has been missing for the timeout. The next message sent then starts a
    // longer one.
    bool takeOverdue(core::monotonic_time now);

private:
    reply_watch_settings m_settings;
    std::chrono::milliseconds m_timeout = m_settings.timeout;
    // When the first message without a reply was sent.
    std::optional<core::monotonic_time> m_awaitedSince;
};

} // namespace jackdawweir::fleet
