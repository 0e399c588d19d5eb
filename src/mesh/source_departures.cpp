// The part of source that stores the departures of backend servers on disk.

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// The pause after a failed attempt to store the departures, for example on a full disk.
constexpr milliseconds storeRetryInterval{500};

} // namespace

// A source that cannot read its departures starts without them: the other sources send theirs.
void source::loadDepartures()
{
    const core::result<fleet::departed_servers> loaded = m_departureStore.load();
    const core::error *failure = core::errorIn(loaded);
    loadDepartureCompleteness(failure == nullptr);
    if (failure != nullptr) {
        m_context.recordError("departures-lost", *failure);
        return;
    }
    m_directory.addDeparted(core::valueIn(loaded), m_context.now());
    m_storedDepartureNumber = m_directory.departureNumber();
    m_context.record(m_context.event("departures-loaded")
                         .step("start")
                         .field("hosts", std::to_string(core::valueIn(loaded).size()))
                         .field("complete", hasAllDepartures() ? "true" : "false")
                         .build());
}

// A source that starts without its files may have stored departures that no other source knows.
// Departures are kept for a limited time, so it holds all of them again after that time.
void source::loadDepartureCompleteness(bool areDeparturesLoaded)
{
    const core::result<bool> stored = m_departureStore.loadCompleteness();
    const bool wasComplete = core::errorIn(stored) == nullptr && core::valueIn(stored);
    const bool isComplete
        = areDeparturesLoaded && (wasComplete || m_context.settings.source->bootstrap);
    m_departuresCompleteAt = m_context.now();
    if (!isComplete) {
        m_departuresCompleteAt += fleet::departure_settings().retention;
    }
    m_isCompletenessStored = isComplete && wasComplete;
    if (!wasComplete || isComplete) {
        return;
    }
    const core::status saved = m_departureStore.saveCompleteness(false);
    if (const core::error *failure = core::errorIn(saved)) {
        m_context.recordError("departures-not-stored", *failure);
    }
}

bool source::hasAllDepartures() const
{
    return m_context.now() >= m_departuresCompleteAt;
}

void source::storeDepartureCompleteness()
{
    const core::monotonic_time now = m_context.now();
    if (m_isCompletenessStored || !hasAllDepartures() || now < m_departureStoreRetryAt) {
        return;
    }
    const core::status saved = m_departureStore.saveCompleteness(true);
    if (const core::error *failure = core::errorIn(saved)) {
        m_context.recordError("departures-not-stored", *failure);
        m_departureStoreRetryAt = now + storeRetryInterval;
        return;
    }
    m_isCompletenessStored = true;
}

void source::handleMessage(const core::endpoint &peer, const fleet::departure_notice &notice)
{
    if (m_directory.addDeparted({{notice.host, notice.departed}}, m_context.now())) {
        schedulePush();
    }
    m_pendingReceipts[peer] = notice.host;
    scheduleDepartureStore();
}

void source::handleMessage(const core::endpoint & /*peer*/,
                           const fleet::departure_receipt & /*receipt*/)
{
}

// Posted, so that the departures of many hosts that arrive together share one write.
void source::scheduleDepartureStore()
{
    const bool isStored = m_storedDepartureNumber == m_directory.departureNumber();
    const bool isNothingToDo = isStored && m_pendingReceipts.empty();
    if (isNothingToDo || m_context.now() < m_departureStoreRetryAt
        || std::exchange(m_isDepartureStorePosted, true)) {
        return;
    }
    boost::asio::post(m_context.loop, [this] {
        m_isDepartureStorePosted = false;
        storeDepartures();
    });
}

void source::storeDepartures()
{
    const core::monotonic_time now = m_context.now();
    const std::map<core::endpoint, core::host_name> receipts = std::exchange(m_pendingReceipts, {});
    const std::uint64_t number = m_directory.departureNumber();
    if (m_storedDepartureNumber != number) {
        const core::status saved = m_departureStore.save(m_directory.departed(now));
        if (const core::error *failure = core::errorIn(saved)) {
            m_context.recordError("departures-not-stored", *failure);
            m_departureStoreRetryAt = now + storeRetryInterval;
            // The nodes repeat their notices.
            return;
        }
        m_storedDepartureNumber = number;
    }
    for (const auto &[node, host] : receipts) {
        send(node, fleet::departure_receipt{m_directory.departed(host, now)});
    }
}

} // namespace jackdawweir::mesh
