// Decides when a node may acknowledge the departure of a backend server. An acknowledgement must
// outlive the node's process, so the node sends the departure to several sources and waits until
// enough of them have stored it on disk.
//
//     departure_receipts receipts(settings);
//     receipts.await(departure, [](bool isStored) { ... }, now);
//     if (receipts.isNoticeDue(now)) { /* send a departure_notice to the sources */ }
//     receipts.add(source, receipt.stored, now);
//     receipts.expire(now);

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct departure_receipt_settings {
    // The number of sources that must store a departure, so that it outlives the loss of one disk.
    std::size_t copies = 2;
    // After this time the copy of the sole source of the node's data centre is enough: the data
    // centre may be cut off.
    std::chrono::milliseconds singleCopyAfter{400};
    // After this time the departure is not acknowledged. Servers wait a second for the response.
    std::chrono::milliseconds timeout{850};
    // The interval at which the notice is repeated while a departure is awaited.
    std::chrono::milliseconds noticeInterval{100};
    // Longer than departures are kept.
    std::chrono::milliseconds retention{90'000};
};

// Called once, with whether the departure is stored.
using departure_handler = std::function<void(bool isStored)>;

class departure_receipts
{
public:
    explicit departure_receipts(const departure_receipt_settings &settings = {});

    // Calls the handler immediately if enough sources have stored the departure, or a later one of
    // the same server. `soleSource` is the only source of the node's data centre, which the node
    // asks for its departures when it starts again; empty if there are more or none.
    void await(const departure &awaited,
               const core::endpoint &soleSource,
               departure_handler handler,
               core::monotonic_time now);

    // Records what a source has stored, and calls the handlers for which this was missing.
    void add(const core::endpoint &source,
             const std::vector<departure> &stored,
             core::monotonic_time now);

    // Returns true if a departure is awaited and the last notice was sent a noticeInterval ago.
    // The caller then sends a notice.
    bool isNoticeDue(core::monotonic_time now);

    // Calls the handlers of departures that have been awaited for long enough, and forgets old
    // receipts.
    void expire(core::monotonic_time now);

private:
    struct awaited_departure {
        departure awaited;
        core::endpoint soleSource;
        departure_handler handler;
        core::monotonic_time since;
    };

    // The latest start that each source has stored as departed.
    struct stored_copies {
        std::map<core::endpoint, std::chrono::milliseconds> startedUpTo;
        core::monotonic_time receivedAt;
    };

    std::size_t copiesOf(const departure &counted) const;
    bool isStoredAt(const core::endpoint &source, const departure &counted) const;
    // Returns the decision, or nothing while receipts are still awaited.
    std::optional<bool> decide(const awaited_departure &pending, core::monotonic_time now) const;
    void completeDecided(core::monotonic_time now);

    departure_receipt_settings m_settings;
    std::map<instance_name, stored_copies> m_copies;
    std::vector<awaited_departure> m_awaited;
    std::optional<core::monotonic_time> m_noticeSentAt;
};

} // namespace jackdawweir::fleet
