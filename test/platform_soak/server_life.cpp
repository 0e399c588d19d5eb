#include "platform_soak/server_life.h"

#include <thread>
#include <utility>

namespace jackdawweir::platform_soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds announceInterval{400};
constexpr milliseconds step{20};

// A server that gets no acknowledgement ends all the same.
constexpr milliseconds longestLeave{3'000};

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

server_life::server_life(const platform_process_test::mesh_fleet &fleet,
                         server_place place,
                         backend &server,
                         const fault_proxy &link,
                         unsigned seed)
    : m_fleet(fleet)
    , m_place(std::move(place))
    , m_server(server)
    , m_link(link)
    , m_engine(seed)
{
}

milliseconds server_life::draw(unsigned least, unsigned most)
{
    return milliseconds(least + m_engine() % (most - least));
}

void server_life::play(const std::atomic<bool> &isDone)
{
    while (!isDone) {
        begin();
        announceUntil(life_clock::now() + draw(1'500, 6'000), isDone);
        const soak_time asked = life_clock::now();
        if (leave(isDone)) {
            m_server.leave(asked, life_clock::now(), m_link);
            serveOn(isDone);
        }
        m_server.end();
        std::this_thread::sleep_for(draw(100, 600));
    }
}

void server_life::begin()
{
    // Some servers start again under the name that they had.
    constexpr unsigned keepsNameEach = 4;
    if (m_number == 0 || m_engine() % keepsNameEach != 0) {
        m_instance = "i-" + std::to_string(m_place.node) + "-" + std::to_string(++m_number);
    }
    m_startedAtMillis = unixMillis();
    m_sequence = 0;
    m_saysDraining = m_engine() % 2 == 0;
    m_server.begin(m_instance);
}

void server_life::announceUntil(life_clock::time_point until, const std::atomic<bool> &isDone)
{
    while (!isDone && life_clock::now() < until) {
        announce(++m_sequence, "ready");
        std::this_thread::sleep_for(announceInterval);
    }
}

bool server_life::leave(const std::atomic<bool> &isDone)
{
    // One announcement is still on its way and arrives after the leave.
    ++m_sequence;
    const life_clock::time_point until = life_clock::now() + longestLeave;
    while (!isDone && life_clock::now() < until) {
        const bool isTaken = m_saysDraining
            ? announce(++m_sequence, "draining")
            : m_fleet.withdraw(m_place.node, m_instance).status == 200;
        if (isTaken) {
            return true;
        }
        std::this_thread::sleep_for(step);
    }
    return false;
}

void server_life::serveOn(const std::atomic<bool> &isDone)
{
    const std::uint64_t heldBack = m_saysDraining ? 1 : m_sequence;
    const life_clock::time_point began = life_clock::now();
    const life_clock::time_point lateAt = began + draw(300, 2'500);
    const life_clock::time_point end = began + draw(2'500, 6'000);
    life_clock::time_point next = began + announceInterval;
    bool wasLate = false;
    while (!isDone && life_clock::now() < end) {
        if (!wasLate && life_clock::now() >= lateAt) {
            wasLate = true;
            announce(heldBack, "ready");
        }
        if (m_saysDraining && life_clock::now() >= next) {
            next += announceInterval;
            announce(++m_sequence, "draining");
        }
        std::this_thread::sleep_for(step);
    }
}

bool server_life::announce(std::uint64_t sequence, const char *phase) const
{
    return m_fleet
               .announce(m_place.node,
                         m_instance,
                         m_place.service,
                         m_place.address,
                         static_cast<int>(sequence),
                         phase,
                         m_startedAtMillis)
               .status
        == 200;
}

} // namespace jackdawweir::platform_soak
