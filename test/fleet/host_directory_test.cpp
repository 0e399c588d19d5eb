#include "jackdawweir/fleet/host_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

class host_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_directory_test);
    CPPUNIT_TEST(tellsOnlyWhatChanged);
    CPPUNIT_TEST(tellsTheWholeAfterARestart);
    CPPUNIT_TEST(removesASilentHostAndTakesItBack);
    CPPUNIT_TEST(ignoresALateReport);
    CPPUNIT_TEST(takesAStartWhoseClockWasSetBack);
    CPPUNIT_TEST(drainsAServerThatLeftBeforeItsNodeStartedAgain);
    CPPUNIT_TEST(drainsAServerOfWhichOnlyALateReportTells);
    CPPUNIT_TEST(forgetsDepartures);
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

    void tellsOnlyWhatChanged()
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
        const directory_changes news = directory.since(7, held);
        CPPUNIT_ASSERT(!news.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), news.changed[0].host.value);
    }

    void tellsTheWholeAfterARestart()
    {
        host_directory directory(directory_settings{}, 8);
        directory.report(host("a", 1, 1), {}, now);
        const directory_changes news = directory.since(7, 50);
        CPPUNIT_ASSERT(news.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.changed.size());
    }

    void removesASilentHostAndTakesItBack()
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

    // Guards against a host that is left out for ever because its clock was set back.
    void takesAStartWhoseClockWasSetBack()
    {
        host_directory directory(directory_settings{}, 7);
        directory.report(host("a", 9, 5), {}, now);
        host_record restarted = host("a", 3, 1);
        restarted.servers.emplace_back();
        CPPUNIT_ASSERT(!directory.report(restarted, {}, now + milliseconds(100)));
        CPPUNIT_ASSERT(directory.report(restarted, {}, now + milliseconds(1600)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.hosts().at(0).servers.size());
    }

    // Guards against a leave that is lost with the process that acknowledged it.
    void drainsAServerThatLeftBeforeItsNodeStartedAgain()
    {
        host_directory directory(directory_settings{}, 1);
        directory.report(withServer(host("a", 1, 5)), {m_left}, now);
        CPPUNIT_ASSERT(directory.hosts().at(0).servers.at(0).isDraining);
        CPPUNIT_ASSERT(directory.report(host("a", 2, 1), {}, now + milliseconds(900)));
        CPPUNIT_ASSERT(directory.report(withServer(host("a", 2, 2)), {}, now + milliseconds(1000)));
        CPPUNIT_ASSERT(directory.hosts().at(0).servers.at(0).isDraining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.departed(core::host_name{"a"}, now).size());
        CPPUNIT_ASSERT(directory.departed(core::host_name{"b"}, now).empty());
    }

    void drainsAServerOfWhichOnlyALateReportTells()
    {
        host_directory directory(directory_settings{}, 1);
        directory.report(withServer(host("a", 2, 1)), {}, now);
        CPPUNIT_ASSERT(directory.report(host("a", 1, 5), {m_left}, now));
        CPPUNIT_ASSERT(directory.hosts().at(0).servers.at(0).isDraining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, directory.hosts().at(0).incarnation);
    }

    void forgetsDepartures()
    {
        host_directory directory(directory_settings{}, 1);
        directory.report(host("a", 1, 1), {m_left}, now);
        directory.expire(now + departure_settings{}.keepFor);
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

    const departure m_left{instance_name{"one"}, milliseconds(5000)};
    static constexpr core::monotonic_time now{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_directory_test);

} // namespace jackdawweir::fleet
