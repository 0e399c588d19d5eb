// Runs departures, delayed announcements, restarts and losses of the disk in any order on a node
// and the only source of a data centre that is cut off.

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/fleet/departures.h"
#include "jackdawweir/fleet/local_servers.h"
#include "support/property.h"

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

namespace {

// The source acknowledges a departure once it is on its disk. Any announcements are delivered late,
// by less than departures are kept, any number of times. A server follows the address that the
// response to an announcement names, until a call there fails.
class cut_off_simulation
{
public:
    void advance(milliseconds time)
    {
        m_now += time;
        m_source.expire(m_now);
    }

    void startServer()
    {
        m_startedAt += milliseconds(1000);
        m_sequence = 0;
        m_namedProcess.reset();
        m_hasLeft = false;
        announce();
    }

    // The latest announcement of the server will arrive late, too.
    void delayLatest()
    {
        m_delayed.push_back(m_sent);
    }

    void announce()
    {
        if (m_hasLeft) {
            return;
        }
        server_announcement sent;
        sent.server.instance.value = "one";
        sent.server.address.value = "10.0.0.1:80";
        sent.server.startedAt = m_startedAt;
        sent.sequence = ++m_sequence;
        if (m_namedProcess != m_process) {
            m_namedProcess.reset();
        }
        m_sent = sent_announcement{m_now, m_namedProcess, sent};
        if (deliver(m_sent) == announcement_verdict::HeldBack) {
            m_namedProcess = m_process;
        }
    }

    // The server leaves; the source stores this, unless it is down and nothing is acknowledged.
    void leave()
    {
        m_hasLeft = true;
        m_node.withdraw(server_withdrawal{instance_name{"one"}, m_startedAt, m_startedAt}, m_now);
        if (!m_isSourceDown) {
            m_source.add(m_node.departed(m_now), m_now);
            m_departed.insert(m_startedAt);
        }
    }

    void deliverLate(std::size_t index)
    {
        std::erase_if(m_delayed, [this](const auto &each) {
            return m_now >= each.sentAt + departure_settings().retention;
        });
        if (!m_delayed.empty()) {
            deliver(m_delayed[index % m_delayed.size()]);
        }
    }

    void restartNode()
    {
        ++m_process;
        m_node = local_servers();
        m_node.awaitDepartures(m_now);
    }

    void stopSource()
    {
        m_isSourceDown = true;
    }

    // Starts the source with what is on its disk, or with an empty disk.
    void startSource(bool isDiskLost)
    {
        m_isSourceDown = false;
        if (isDiskLost) {
            m_source = departures();
            m_completeAt = m_now + departure_settings().retention;
        }
    }

    // The node reports to the source, which answers.
    void exchangeReports()
    {
        m_node.expire(m_now);
        if (m_isSourceDown) {
            return;
        }
        m_source.add(m_node.departed(m_now), m_now);
        m_node.restore(m_source.list(m_now), m_now);
        if (m_now >= m_completeAt) {
            for (const server_announcement &each : m_node.departuresRestored(m_now)) {
                m_node.announce(each, m_now);
            }
        }
    }

    // Returns true if the node lists a server that left with an acknowledgement.
    bool listsADepartedStart() const
    {
        const std::vector<server_record> listed = m_node.records(m_now);
        return std::any_of(listed.begin(), listed.end(), [&](const server_record &each) {
            return !each.isDraining && m_departed.contains(each.startedAt);
        });
    }

    bool listsTheRunningServer() const
    {
        return m_node.takesRequests(instance_name{"one"});
    }

private:
    struct sent_announcement {
        core::monotonic_time sentAt;
        // The node process at whose own address it arrives; absent for the configured address.
        std::optional<int> process;
        server_announcement content;
    };

    // Returns nothing if no process listens at the address.
    std::optional<announcement_verdict> deliver(const sent_announcement &delivered)
    {
        if (delivered.process && delivered.process != m_process) {
            return std::nullopt;
        }
        server_announcement arrived = delivered.content;
        arrived.wasSentAfterNodeStart = delivered.process.has_value();
        return m_node.announce(arrived, m_now);
    }

    core::monotonic_time m_now{std::chrono::seconds(1000)};
    local_servers m_node;
    departures m_source;
    bool m_isSourceDown = false;
    core::monotonic_time m_completeAt;
    milliseconds m_startedAt{1'000'000};
    std::uint64_t m_sequence = 0;
    bool m_hasLeft = true;
    // The number of the current process of the node.
    int m_process = 0;
    // The process whose address the server was told.
    std::optional<int> m_namedProcess;
    sent_announcement m_sent;
    std::vector<sent_announcement> m_delayed;
    std::set<milliseconds> m_departed;
};

// Runs the step that the number selects.
void runStep(cut_off_simulation &simulation, unsigned step)
{
    switch (step % 10) {
    case 0:
        simulation.startServer();
        break;
    case 1:
        simulation.announce();
        break;
    case 2:
        simulation.leave();
        break;
    case 3:
        simulation.restartNode();
        break;
    case 4:
        simulation.stopSource();
        break;
    case 5:
        simulation.startSource(false);
        break;
    case 6:
        simulation.startSource(true);
        break;
    case 7:
        simulation.delayLatest();
        break;
    default:
        simulation.deliverLate(step / 10);
        break;
    }
}

} // namespace

class departure_disk_loss_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_disk_loss_test);
    CPPUNIT_TEST(departedStartTakesNoRequestsAgain);
    CPPUNIT_TEST(listsARunningServerAgainAfterTheLossOfTheDisk);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an acknowledged departure that is forgotten with the only disk that holds it,
    // so that a late announcement lists the server again.
    void departedStartTakesNoRequestsAgain()
    {
        test::checkProperty("a departed start takes no requests after its copy is lost", [] {
            const auto steps
                = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4096U));
            cut_off_simulation simulation;
            simulation.startServer();
            for (const unsigned step : steps) {
                runStep(simulation, step);
                simulation.exchangeReports();
                RC_ASSERT(!simulation.listsADepartedStart());
                simulation.advance(milliseconds(step % 700));
            }
        });
    }

    // Guards against a running server that stays held back after its second announcement.
    void listsARunningServerAgainAfterTheLossOfTheDisk()
    {
        cut_off_simulation simulation;
        simulation.startServer();
        simulation.startSource(true);
        simulation.restartNode();
        for (int sent = 0; sent < 2; ++sent) {
            simulation.announce();
            simulation.exchangeReports();
            simulation.advance(milliseconds(1'500));
        }
        CPPUNIT_ASSERT(simulation.listsTheRunningServer());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_disk_loss_test);

} // namespace jackdawweir::fleet
