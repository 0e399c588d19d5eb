#include "jackdawweir/fleet/host_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

class host_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_directory_test);
    CPPUNIT_TEST(returnsOnlyWhatChanged);
    CPPUNIT_TEST(returnsTheWholeDirectoryAfterARestart);
    CPPUNIT_TEST(removesASilentHostAndAddsItAgain);
    CPPUNIT_TEST(ignoresALateReport);
    CPPUNIT_TEST(acceptsARestartAfterTheClockWasSetBack);
    CPPUNIT_TEST(drainsAServerThatDepartedBeforeItsNodeRestarted);
    CPPUNIT_TEST(drainsAServerWhoseDepartureOnlyALateReportNames);
    CPPUNIT_TEST(expiresDepartures);
    CPPUNIT_TEST_SUITE_END();

public:
    static host_record
    host(const std::string &name, std::uint64_t incarnation, std::uint64_t sequence)
    {
        host_record made;
        made.host.value = name;
        made.incarnation = incarnation;
        made.sequence = sequence;
        return made;
    }

    void returnsOnlyWhatChanged()
    {
        host_directory directory(directory_settings{}, 7);
        CPPUNIT_ASSERT(directory.report(host("a", 1, 1), {}, now));
        CPPUNIT_ASSERT(directory.report(host("b", 1, 1), {}, now));
        const std::uint64_t held = directory.number();
        CPPUNIT_ASSERT(!directory.report(host("a", 1, 2), {}, now));
        CPPUNIT_ASSERT(directory.since(7, held).isEmpty());
        host_record changed = host("b", 1, 2);
        changed.servers.emplace_back();
        CPPUNIT_ASSERT(directory.report(changed, {}, now));
        const directory_changes changes = directory.since(7, held);
        CPPUNIT_ASSERT(!changes.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), changes.changed[0].host.value);
    }

    void returnsTheWholeDirectoryAfterARestart()
    {
        host_directory directory(directory_settings{}, 8);
        directory.report(host("a", 1, 1), {}, now);
        const directory_changes changes = directory.since(7, 50);
        CPPUNIT_ASSERT(changes.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.changed.size());
    }

    void removesASilentHostAndAddsItAgain()
    {
        host_directory directory(directory_settings{}, 7);
        directory.report(host("a", 1, 1), {}, now);
        const std::uint64_t held = directory.number();
        CPPUNIT_ASSERT(!directory.expire(now + milliseconds(2000)));
        CPPUNIT_ASSERT(directory.expire(now + milliseconds(2600)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.since(7, held).removed.size());
        CPPUNIT_ASSERT(directory.hosts().empty());
        CPPUNIT_ASSERT(directory.report(host("a", 1, 2), {}, now + milliseconds(2700)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.hosts().size());
    }

    void ignoresALateReport()
    {
        host_directory directory(directory_settings{}, 7);
        host_record newer = host("a", 2, 1);
        newer.servers.emplace_back();
        directory.report(newer, {}, now);
        CPPUNIT_ASSERT(!directory.report(host("a", 1, 900), {}, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.hosts().at(0).servers.size());
    }

    // Guards against a host that is never listed again because its clock was set back.
    void acceptsARestartAfterTheClockWasSetBack()
    {
        host_directory directory(directory_settings{}, 7);
        directory.report(host("a", 9, 5), {}, now);
        host_record restarted = host("a", 3, 1);
        restarted.servers.emplace_back();
        CPPUNIT_ASSERT(!directory.report(restarted, {}, now + milliseconds(100)));
        CPPUNIT_ASSERT(directory.report(restarted, {}, now + milliseconds(1600)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.hosts().at(0).servers.size());
    }

    // Guards against losing a departure when the node process that acknowledged it ends.
    void drainsAServerThatDepartedBeforeItsNodeRestarted()
    {
        host_directory directory(directory_settings{}, 1);
        directory.report(withServer(host("a", 1, 5)), {m_departure}, now);
        CPPUNIT_ASSERT(directory.hosts().at(0).servers.at(0).isDraining);
        CPPUNIT_ASSERT(directory.report(host("a", 2, 1), {}, now + milliseconds(900)));
        CPPUNIT_ASSERT(directory.report(withServer(host("a", 2, 2)), {}, now + milliseconds(1000)));
        CPPUNIT_ASSERT(directory.hosts().at(0).servers.at(0).isDraining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.departed(core::host_name{"a"}, now).size());
        CPPUNIT_ASSERT(directory.departed(core::host_name{"b"}, now).empty());
    }

    void drainsAServerWhoseDepartureOnlyALateReportNames()
    {
        host_directory directory(directory_settings{}, 1);
        directory.report(withServer(host("a", 2, 1)), {}, now);
        CPPUNIT_ASSERT(directory.report(host("a", 1, 5), {m_departure}, now));
        CPPUNIT_ASSERT(directory.hosts().at(0).servers.at(0).isDraining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, directory.hosts().at(0).incarnation);
    }

    void expiresDepartures()
    {
        host_directory directory(directory_settings{}, 1);
        directory.report(host("a", 1, 1), {m_departure}, now);
        directory.expire(now + departure_settings{}.retention);
        CPPUNIT_ASSERT(directory.departed(core::host_name{"a"}, now).empty());
    }

private:
    static host_record withServer(host_record made)
    {
        server_record server;
        server.instance.value = "one";
        server.startedAt = milliseconds(5000);
        made.servers = {server};
        return made;
    }

    const departure m_departure{instance_name{"one"}, milliseconds(5000)};
    static constexpr core::monotonic_time now{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_directory_test);

} // namespace jackdawweir::fleet
