// Leaves, late announcements and restarts in any order, over a node and two sources.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/fleet/host_directory.h"
#include "jackdawweir/fleet/local_servers.h"
#include "support/property.h"

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

namespace {

// One start of a server: its name and the wall time.
using server_start = std::pair<std::string, milliseconds>;

// A node and two sources, of which one at a time loses its memory.
class departing_world
{
public:
    departing_world()
    {
        restartSource(0);
        restartSource(1);
    }

    void begin(const std::string &instance)
    {
        m_wallNow += milliseconds(1000);
        m_starts[instance] = m_wallNow;
        m_sequences[instance] = 0;
        announce(instance, false);
    }

    void announce(const std::string &instance, bool isDraining)
    {
        server_announcement sent;
        sent.server.instance.value = instance;
        sent.server.address.value = "10.0.0.1:" + instance;
        sent.server.startedAt = m_starts[instance];
        sent.server.isDraining = isDraining;
        sent.sequence = ++m_sequences[instance];
        m_sent.push_back(sent);
        deliver(sent);
    }

    void leave(const std::string &instance, bool saysDraining)
    {
        if (saysDraining) {
            announce(instance, true);
        } else {
            m_node.withdraw(server_withdrawal{instance_name{instance}, std::nullopt, m_wallNow},
                            m_now);
            m_left.insert({instance, m_starts[instance]});
        }
    }

    // An announcement arrives once more, or for the first time where the node has restarted.
    void deliverLate(std::size_t index)
    {
        if (!m_sent.empty()) {
            deliver(m_sent[index % m_sent.size()]);
        }
    }

    void restartNode()
    {
        ++m_incarnation;
        m_node = local_servers();
    }

    void restartSource(std::size_t index)
    {
        m_sources[index] = host_directory(directory_settings{}, ++m_epoch);
        m_sources[index].addDeparted(m_sources[1 - index].departed(m_now), m_now);
    }

    // The node reports to both sources and takes in what they know.
    void exchange()
    {
        m_now += milliseconds(100);
        for (host_directory &source : m_sources) {
            source.report(ownRecord(), m_node.departed(m_now), m_now);
            m_node.restore(source.departed(m_host, m_now), m_now);
        }
        for (host_directory &source : m_sources) {
            source.report(ownRecord(), m_node.departed(m_now), m_now);
        }
    }

    // Returns true where a start that has left takes requests, at the node or in a directory.
    bool listsALeftStart() const
    {
        std::vector<server_record> listed = m_node.records(m_now);
        for (const host_directory &source : m_sources) {
            for (const host_record &host : source.hosts()) {
                listed.insert(listed.end(), host.servers.begin(), host.servers.end());
            }
        }
        return std::any_of(listed.begin(), listed.end(), [&](const server_record &each) {
            return !each.isDraining && m_left.contains({each.instance.value, each.startedAt});
        });
    }

    // Returns true where the start that runs now and has not left drains all the same.
    bool drainsAPresentStart() const
    {
        const std::vector<server_record> listed = m_node.records(m_now);
        return std::any_of(listed.begin(), listed.end(), [&](const server_record &each) {
            return each.isDraining && !m_left.contains({each.instance.value, each.startedAt})
                && m_starts.at(each.instance.value) == each.startedAt;
        });
    }

private:
    void deliver(const server_announcement &sent)
    {
        m_node.announce(sent, m_now);
        if (sent.server.isDraining) {
            m_left.insert({sent.server.instance.value, sent.server.startedAt});
        }
    }

    host_record ownRecord()
    {
        host_record own;
        own.host = m_host;
        own.incarnation = m_incarnation;
        own.sequence = ++m_sequence;
        own.servers = m_node.records(m_now);
        return own;
    }

    const core::host_name m_host{"host"};
    core::monotonic_time m_now{std::chrono::seconds(1000)};
    milliseconds m_wallNow{1'000'000};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_sequence = 0;
    local_servers m_node;
    std::vector<host_directory> m_sources{host_directory({}, 100), host_directory({}, 101)};
    std::map<std::string, milliseconds> m_starts;
    std::map<std::string, std::uint64_t> m_sequences;
    std::vector<server_announcement> m_sent;
    std::set<server_start> m_left;
};

// Plays one step, by its number.
void play(departing_world &world, unsigned step)
{
    const std::string instance = step % 2 == 0 ? "1" : "2";
    switch (step / 2 % 8) {
    case 0:
        world.begin(instance);
        break;
    case 1:
        world.announce(instance, false);
        break;
    case 2:
        world.leave(instance, true);
        break;
    case 3:
        world.leave(instance, false);
        break;
    case 4:
        world.restartNode();
        break;
    case 5:
        world.restartSource(step % 2);
        break;
    default:
        world.deliverLate(step / 16);
        break;
    }
}

} // namespace

class departure_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_property_test);
    CPPUNIT_TEST(noStartThatLeftTakesRequestsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leave that any order of late messages and restarts undoes.
    void noStartThatLeftTakesRequestsAgain()
    {
        test::checkProperty("a start that left stays so, a later one does not", [] {
            const auto steps
                = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4096U));
            departing_world world;
            world.begin("1");
            world.begin("2");
            for (const unsigned step : steps) {
                play(world, step);
                world.exchange();
                RC_ASSERT(!world.listsALeftStart());
                RC_ASSERT(!world.drainsAPresentStart());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_property_test);

} // namespace jackdawweir::fleet
