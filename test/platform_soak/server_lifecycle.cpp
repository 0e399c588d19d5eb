#include "platform_soak/server_lifecycle.h"

#include <array>
#include <thread>
#include <utility>

namespace jackdawweir::platform_soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds announceInterval{400};
constexpr milliseconds step{20};

// The last announcements before a leave, which arrive after it.
constexpr std::size_t lateAnnouncements = 3;

// How long before the end of a server its last late announcement arrives: long enough for requests
// to follow it.
constexpr milliseconds lastBeforeEnd{1'000};

// A server whose leave is not acknowledged within this time stops without an acknowledgement.
constexpr milliseconds leaveTimeout{3'000};

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

server_lifecycle::server_lifecycle(const platform_process_test::mesh_fleet &fleet,
                                   server_place place,
                                   backend_server &server,
                                   const fault_proxy &link,
                                   milliseconds longestService,
                                   unsigned seed)
    : m_fleet(fleet)
    , m_place(std::move(place))
    , m_server(server)
    , m_link(link)
    , m_longestService(longestService)
    , m_engine(seed)
    , m_announcer(fleet, m_place.node, {})
{
}

milliseconds server_lifecycle::randomDuration(unsigned least, unsigned most)
{
    return milliseconds(least + m_engine() % (most - least));
}

void server_lifecycle::simulate(const std::atomic<bool> &isDone)
{
    while (!isDone) {
        startInstance();
        announceUntil(lifecycle_clock::now() + randomDuration(1'500, 6'000), isDone);
        const soak_time asked = lifecycle_clock::now();
        if (leave(isDone)) {
            m_server.recordLeave(asked, lifecycle_clock::now(), m_link);
            m_hasLeft = true;
            keepServing(isDone);
            m_hasLeft = false;
        }
        m_server.stopInstance();
        std::this_thread::sleep_for(randomDuration(100, 600));
    }
}

void server_lifecycle::startInstance()
{
    // Some servers start again under the same instance name.
    constexpr unsigned startsPerReusedName = 4;
    if (m_number == 0 || m_engine() % startsPerReusedName != 0) {
        m_instance = "i-" + std::to_string(m_place.node) + "-" + std::to_string(++m_number);
    }
    m_announcer.restart({m_instance, m_place.service, m_place.address, unixMillis()});
    m_saysDraining = m_engine() % 2 == 0;
    m_server.startInstance(m_instance);
}

void server_lifecycle::announceUntil(lifecycle_clock::time_point until,
                                     const std::atomic<bool> &isDone)
{
    while (!isDone && lifecycle_clock::now() < until) {
        m_announcer.announce("ready");
        std::this_thread::sleep_for(announceInterval);
    }
}

bool server_lifecycle::leave(const std::atomic<bool> &isDone)
{
    m_lateSequences.clear();
    for (std::size_t late = 0; late < lateAnnouncements; ++late) {
        m_lateSequences.push_back(m_announcer.takeSequence());
    }
    const lifecycle_clock::time_point until = lifecycle_clock::now() + leaveTimeout;
    while (!isDone && lifecycle_clock::now() < until) {
        const bool isAcknowledged = m_saysDraining
            ? m_announcer.announce("draining").status == 200
            : m_fleet.withdraw(m_place.node, m_instance).status == 200;
        if (isAcknowledged) {
            return true;
        }
        std::this_thread::sleep_for(step);
    }
    return false;
}

// Most servers make room for the next one soon, so that each service has some most of the time.
milliseconds server_lifecycle::drawServiceTime()
{
    constexpr unsigned servicesPerLongOne = 3;
    const bool isLong
        = m_longestService > usualLongestService && m_engine() % servicesPerLongOne == 0;
    const milliseconds longest = isLong ? m_longestService : usualLongestService;
    return randomDuration(static_cast<unsigned>(shortestService.count()),
                          static_cast<unsigned>(longest.count()));
}

void server_lifecycle::keepServing(const std::atomic<bool> &isDone)
{
    const lifecycle_clock::time_point began = lifecycle_clock::now();
    const lifecycle_clock::time_point firstLate = began + randomDuration(300, 2'500);
    const lifecycle_clock::time_point end = began + drawServiceTime();
    const std::array lateAt{firstLate, firstLate + 2 * announceInterval, end - lastBeforeEnd};
    static_assert(lateAt.size() == lateAnnouncements);
    std::size_t delivered = 0;
    lifecycle_clock::time_point next = began + announceInterval;
    while (!isDone && lifecycle_clock::now() < end) {
        if (delivered < lateAt.size() && lifecycle_clock::now() >= lateAt.at(delivered)) {
            m_announcer.deliver({m_lateSequences.at(delivered), "ready"});
            ++delivered;
        }
        if (m_saysDraining && lifecycle_clock::now() >= next) {
            next += announceInterval;
            m_announcer.announce("draining");
        }
        std::this_thread::sleep_for(step);
    }
}

} // namespace jackdawweir::platform_soak
