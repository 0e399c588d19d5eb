// Runs departures, delayed announcements and restarts in any order on a node and two sources.

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

// A server process: its name and the wall time of its start.
using server_start = std::pair<std::string, milliseconds>;

// A node and two sources. A restarted source loses its directory and gets the departures from the
// other source; if all processes restart at once, from its disk.
class departure_simulation
{
public:
    departure_simulation()
    {
        restartSource(0);
        restartSource(1);
    }

    void startServer(const std::string &instance)
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

    void stopServer(const std::string &instance, bool announcesDraining)
    {
        if (announcesDraining) {
            announce(instance, true);
        } else {
            m_node.withdraw(server_withdrawal{instance_name{instance}, std::nullopt, m_wallNow},
                            m_now);
            m_departed.insert({instance, m_starts[instance]});
        }
    }

    // Delivers an announcement a second time, or for the first time to a restarted node.
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

    void restartAll()
    {
        restartNode();
        for (std::size_t index = 0; index < m_sources.size(); ++index) {
            m_sources[index] = host_directory(directory_settings{}, ++m_epoch);
            m_sources[index].addDeparted(m_disks[index], m_now);
        }
    }

    // Reports the node's state to both sources and restores the departures they know at the node.
    void exchangeReports()
    {
        m_now += milliseconds(100);
        for (host_directory &source : m_sources) {
            source.report(ownRecord(), m_node.departed(m_now), m_now);
            m_node.restore(source.departed(m_host, m_now), m_now);
        }
        for (host_directory &source : m_sources) {
            source.report(ownRecord(), m_node.departed(m_now), m_now);
        }
        // Both sources store the departures before these are acknowledged.
        for (std::size_t index = 0; index < m_sources.size(); ++index) {
            m_disks[index] = m_sources[index].departed(m_now);
        }
    }

    // Returns true if the node or a directory lists a departed server process as taking requests.
    bool listsADepartedStart() const
    {
        std::vector<server_record> listed = m_node.records(m_now);
        for (const host_directory &source : m_sources) {
            for (const host_record &host : source.hosts()) {
                listed.insert(listed.end(), host.servers.begin(), host.servers.end());
            }
        }
        return std::any_of(listed.begin(), listed.end(), [&](const server_record &each) {
            return !each.isDraining && m_departed.contains({each.instance.value, each.startedAt});
        });
    }

    // Returns true if a server process that runs and has not departed is listed as draining.
    bool drainsACurrentStart() const
    {
        const std::vector<server_record> listed = m_node.records(m_now);
        return std::any_of(listed.begin(), listed.end(), [&](const server_record &each) {
            return each.isDraining && !m_departed.contains({each.instance.value, each.startedAt})
                && m_starts.at(each.instance.value) == each.startedAt;
        });
    }

private:
    void deliver(const server_announcement &sent)
    {
        m_node.announce(sent, m_now);
        if (sent.server.isDraining) {
            m_departed.insert({sent.server.instance.value, sent.server.startedAt});
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
    std::vector<departed_servers> m_disks = std::vector<departed_servers>(2);
    std::map<std::string, milliseconds> m_starts;
    std::map<std::string, std::uint64_t> m_sequences;
    std::vector<server_announcement> m_sent;
    std::set<server_start> m_departed;
};

// Runs the step that the number selects.
void runStep(departure_simulation &simulation, unsigned step)
{
    const std::string instance = step % 2 == 0 ? "1" : "2";
    switch (step / 2 % 8) {
    case 0:
        simulation.startServer(instance);
        break;
    case 1:
        simulation.announce(instance, false);
        break;
    case 2:
        simulation.stopServer(instance, true);
        break;
    case 3:
        simulation.stopServer(instance, false);
        break;
    case 4:
        simulation.restartNode();
        break;
    case 5:
        simulation.restartSource(step % 2);
        break;
    case 6:
        simulation.restartAll();
        break;
    default:
        simulation.deliverLate(step / 16);
        break;
    }
}

} // namespace

class departure_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_property_test);
    CPPUNIT_TEST(departedStartTakesNoRequestsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a departure that some order of delayed messages and restarts undoes.
    void departedStartTakesNoRequestsAgain()
    {
        test::checkProperty("a departed start stays draining and a later start takes requests", [] {
            const auto steps
                = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4096U));
            departure_simulation simulation;
            simulation.startServer("1");
            simulation.startServer("2");
            for (const unsigned step : steps) {
                runStep(simulation, step);
                simulation.exchangeReports();
                RC_ASSERT(!simulation.listsADepartedStart());
                RC_ASSERT(!simulation.drainsACurrentStart());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_property_test);

} // namespace jackdawweir::fleet
