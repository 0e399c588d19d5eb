#include "jackdawweir/fleet/fleet_view.h"

#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

class fleet_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_view_test);
    CPPUNIT_TEST(listsAHostThatAnySourceLists);
    CPPUNIT_TEST(keepsItsHostsWithoutAnySource);
    CPPUNIT_TEST(usesTheNewestRecord);
    CPPUNIT_TEST(ignoresChangesToADirectoryItDoesNotHold);
    CPPUNIT_TEST(asksASourceOfTheOwnDataCentreFirst);
    CPPUNIT_TEST(wantsTheDirectoryOfTheOwnDataCentre);
    CPPUNIT_TEST(wantsEveryDirectoryWhileTheOwnSourceIsUnreachable);
    CPPUNIT_TEST(wantsFewDirectoriesOfOtherDataCentres);
    CPPUNIT_TEST(reportsToTheSourcesOfItsDataCentre);
    CPPUNIT_TEST(reportsToFewSourcesBeforeAnyLeads);
    CPPUNIT_TEST(triesOtherSourcesInTurn);
    CPPUNIT_TEST(reportsToOthersWhileItsOwnSourceIsOutOfContactWithTheLeader);
    CPPUNIT_TEST(ignoresChangesThatFollowALostUpdate);
    CPPUNIT_TEST(ignoresASourceThatSendsNoDirectory);
    CPPUNIT_TEST(keepsHostsWhileARestartedSourceRebuildsItsDirectory);
    CPPUNIT_TEST(removesASourceThatSettingsDoNotName);
    CPPUNIT_TEST(namesTheSoleSourceOfADataCentre);
    CPPUNIT_TEST(countsASourceOfAnUnknownDataCentreForEach);
    CPPUNIT_TEST_SUITE_END();

public:
    static source_update whole(std::uint64_t epoch, const std::vector<std::string> &hosts)
    {
        source_update made;
        made.directoryEpoch = epoch;
        made.directoryNumber = 1;
        made.isWhole = true;
        made.hasDirectory = true;
        made.isCurrent = true;
        for (const std::string &each : hosts) {
            host_record record;
            record.host.value = each;
            record.incarnation = 1;
            made.changed.push_back(record);
        }
        return made;
    }

    // Guards against removing all servers of a host because one source cannot reach it.
    void listsAHostThatAnySourceLists()
    {
        fleet_view view;
        view.apply(m_first, whole(1, {"a", "b"}), now);
        view.apply(m_second, whole(2, {"b", "c"}), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.hosts(now).size());
        // The first source is unreachable by now, so only the hosts of the second are listed.
        view.apply(m_second, whole(2, {"b", "c"}), now + milliseconds(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.hosts(now + milliseconds(1600)).size());
    }

    void keepsItsHostsWithoutAnySource()
    {
        fleet_view view;
        view.apply(m_first, whole(1, {"a", "b"}), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.hosts(now + milliseconds(60'000)).size());
        CPPUNIT_ASSERT(!view.hasReachableSource(now + milliseconds(60'000)));
    }

    void usesTheNewestRecord()
    {
        fleet_view view;
        source_update newer = whole(2, {"a"});
        newer.changed[0].sequence = 5;
        newer.changed[0].isLeaving = true;
        view.apply(m_second, newer, now);
        view.apply(m_first, whole(1, {"a"}), now);
        CPPUNIT_ASSERT(view.hosts(now).at(0).isLeaving);
    }

    void ignoresChangesToADirectoryItDoesNotHold()
    {
        fleet_view view;
        source_update partial = whole(1, {"a"});
        partial.isWhole = false;
        view.apply(m_first, partial, now);
        CPPUNIT_ASSERT(view.hosts(now).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, view.directoryPosition(m_first).epoch);
    }

    void asksASourceOfTheOwnDataCentreFirst()
    {
        fleet_view view;
        core::random_engine engine(3);
        const core::data_centre_name own{"near"};
        source_update near = whole(1, {});
        near.dataCentre = own;
        near.revision = 4;
        source_update far = whole(2, {});
        far.dataCentre.value = "far";
        far.revision = 5;
        view.apply(m_first, near, now);
        view.apply(m_second, far, now);
        CPPUNIT_ASSERT(!view.newerSource(4, own, now, engine));
        CPPUNIT_ASSERT(view.newerSource(4, own, now + milliseconds(100), engine) == m_second);
        near.revision = 5;
        view.apply(m_first, near, now + milliseconds(10));
        CPPUNIT_ASSERT(view.newerSource(4, own, now + milliseconds(11), engine) == m_first);
        CPPUNIT_ASSERT(!view.newerSource(5, own, now + milliseconds(11), engine));
    }

    void wantsTheDirectoryOfTheOwnDataCentre()
    {
        fleet_view view;
        view.setConfigured({m_first, m_second});
        const core::data_centre_name own{"near"};
        CPPUNIT_ASSERT(!view.wantsDirectory(m_second, own, now));
        source_update near = whole(1, {"a"});
        near.dataCentre = own;
        view.apply(m_first, near, now);
        CPPUNIT_ASSERT(view.wantsDirectory(m_first, own, now));
        CPPUNIT_ASSERT(!view.wantsDirectory(m_second, own, now));
    }

    // Guards against a data centre that receives no changes while its own source hangs.
    void wantsEveryDirectoryWhileTheOwnSourceIsUnreachable()
    {
        fleet_view view;
        view.setConfigured({m_first, m_second});
        const core::data_centre_name own{"near"};
        source_update near = whole(1, {"a"});
        near.dataCentre = own;
        view.apply(m_first, near, now);
        CPPUNIT_ASSERT(!view.wantsDirectory(m_second, own, now + milliseconds(900)));
        CPPUNIT_ASSERT(view.wantsDirectory(m_second, own, now + milliseconds(1100)));
        CPPUNIT_ASSERT(view.wantsDirectory(m_first, own, now + milliseconds(1100)));
    }

    // Guards against a node with a slow link that requests the whole directory of every source at
    // once when its own source is lost.
    void wantsFewDirectoriesOfOtherDataCentres()
    {
        fleet_view view;
        const core::data_centre_name own{"near"};
        const core::monotonic_time later = now + milliseconds(1'100);
        int wanted = 0;
        for (int number = 1; number <= 9; ++number) {
            source_update far = whole(1, {"a"});
            far.dataCentre.value = "far";
            view.apply(sourceAt(number), far, now);
            view.apply(sourceAt(number), far, later);
        }
        for (int number = 1; number <= 9; ++number) {
            wanted += view.wantsDirectory(sourceAt(number), own, later) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, wanted);
    }

    // Guards against a start of hundreds of nodes that all report to every source they know, before
    // any source is in contact with a leader.
    void reportsToFewSourcesBeforeAnyLeads()
    {
        fleet_view view;
        const core::data_centre_name own{"near"};
        for (int number = 1; number <= 18; ++number) {
            source_update early = whole(1, {});
            early.isCurrent = false;
            early.dataCentre.value = number <= 3 ? "near" : "far";
            view.apply(sourceAt(number), early, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, view.sourcesToReportTo(own, now).size());
        // The directories of other data centres are not requested before the own sources had time
        // to answer: at a start of all nodes they would fill the links.
        int wanted = 0;
        for (int number = 1; number <= 18; ++number) {
            wanted += view.wantsDirectory(sourceAt(number), own, now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, wanted);
    }

    // Guards against a node that keeps trying the same sources although they do not answer.
    void triesOtherSourcesInTurn()
    {
        fleet_view view;
        std::vector<core::endpoint> configured;
        for (int number = 1; number <= 6; ++number) {
            configured.push_back(sourceAt(number));
        }
        view.setConfigured(configured);
        std::set<core::endpoint> tried;
        for (int second = 0; second < 30; ++second) {
            for (const core::endpoint &each : view.sourcesToReportTo(
                     core::data_centre_name{"near"}, now + std::chrono::seconds(second))) {
                tried.insert(each);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, tried.size());
    }

    // Guards against reports of all nodes to all sources, whose number grows with the product of
    // both.
    void reportsToTheSourcesOfItsDataCentre()
    {
        fleet_view view;
        const core::data_centre_name own{"near"};
        view.setConfigured({m_first, m_second});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.sourcesToReportTo(own, now).size());
        source_update near = whole(1, {"a"});
        near.dataCentre = own;
        near.sources
            = {source_record{m_first, own}, source_record{m_second, core::data_centre_name{"far"}}};
        view.apply(m_first, near, now);
        CPPUNIT_ASSERT(view.sourcesToReportTo(own, now) == std::vector{m_first});
        CPPUNIT_ASSERT(view.primarySource(own, now) == m_first);
        // The own source has been silent for too long.
        const core::monotonic_time later = now + milliseconds(1'100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.sourcesToReportTo(own, later).size());
        CPPUNIT_ASSERT(!view.primarySource(own, later));
    }

    // Guards against a node that misses changes because its own source answers but is cut off from
    // the other sources.
    void reportsToOthersWhileItsOwnSourceIsOutOfContactWithTheLeader()
    {
        fleet_view view;
        const core::data_centre_name own{"near"};
        view.setConfigured({m_first, m_second});
        source_update near = whole(1, {"a"});
        near.dataCentre = own;
        near.isCurrent = false;
        view.apply(m_first, near, now);
        const core::monotonic_time later = now + milliseconds(1'100);
        view.apply(m_first, near, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.sourcesToReportTo(own, later).size());
        CPPUNIT_ASSERT(view.wantsDirectory(m_first, own, later));
        CPPUNIT_ASSERT(view.wantsDirectory(m_second, own, later));
    }

    // Guards against a host that stays listed because the update that removed it was lost with its
    // link, while a later one arrived.
    void ignoresChangesThatFollowALostUpdate()
    {
        fleet_view view;
        view.apply(m_first, whole(1, {"a", "b"}), now);
        source_update later = whole(1, {"c"});
        later.isWhole = false;
        later.directoryBase = 2;
        later.directoryNumber = 3;
        CPPUNIT_ASSERT(!view.apply(m_first, later, now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view.directoryPosition(m_first).number);
        later.directoryBase = 1;
        later.removed = {core::host_name{"b"}};
        CPPUNIT_ASSERT(view.apply(m_first, later, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.hosts(now).size());
    }

    static core::endpoint sourceAt(int number)
    {
        return core::endpoint{"10.0.1." + std::to_string(number) + ":7000"};
    }

    // Guards against an empty host list while the only reachable sources are those from which no
    // directory was requested.
    void ignoresASourceThatSendsNoDirectory()
    {
        fleet_view view;
        view.apply(m_first, whole(1, {"a", "b"}), now);
        source_update other;
        other.revision = 7;
        view.apply(m_second, other, now + milliseconds(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.hosts(now + milliseconds(1600)).size());
        view.apply(m_second, whole(2, {"b"}), now + milliseconds(1700));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.hosts(now + milliseconds(1700)).size());
    }

    // Guards against refusing all requests for a report interval after a source has restarted.
    void keepsHostsWhileARestartedSourceRebuildsItsDirectory()
    {
        fleet_view view;
        view.apply(m_first, whole(1, {"a", "b"}), now);
        view.apply(m_first, whole(2, {"a"}), now + milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.hosts(now + milliseconds(300)).size());
        CPPUNIT_ASSERT(view.refresh(now + milliseconds(1400)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.hosts(now + milliseconds(1400)).size());
    }

    void removesASourceThatSettingsDoNotName()
    {
        fleet_view view;
        view.setConfigured({m_first});
        source_update update = whole(1, {});
        update.sources = {source_record{m_second, {}}};
        view.apply(m_first, update, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.sources().size());
        view.refresh(now + std::chrono::seconds(31));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.sources().size());
    }

    // Guards against a departure that is acknowledged with one copy where a data centre has a
    // second source, which may be asked for it instead.
    void namesTheSoleSourceOfADataCentre()
    {
        fleet_view view;
        source_update update = whole(1, {});
        update.dataCentre.value = "a";
        view.apply(m_first, update, now);
        CPPUNIT_ASSERT(view.soleSourceOf(core::data_centre_name{"a"}) == m_first);
        CPPUNIT_ASSERT(view.soleSourceOf(core::data_centre_name{"b"}).empty());
        update.sources = {source_record{m_second, core::data_centre_name{"a"}}};
        view.apply(m_first, update, now);
        CPPUNIT_ASSERT(view.soleSourceOf(core::data_centre_name{"a"}).empty());
    }

    void countsASourceOfAnUnknownDataCentreForEach()
    {
        fleet_view view;
        view.setConfigured({m_second});
        source_update update = whole(1, {});
        update.dataCentre.value = "a";
        view.apply(m_first, update, now);
        CPPUNIT_ASSERT(view.mayHaveSourceIn(core::data_centre_name{"b"}));
        update.sources = {source_record{m_second, core::data_centre_name{"a"}}};
        view.apply(m_first, update, now);
        CPPUNIT_ASSERT(!view.mayHaveSourceIn(core::data_centre_name{"b"}));
        CPPUNIT_ASSERT(view.mayHaveSourceIn(core::data_centre_name{"a"}));
    }

private:
    static constexpr core::monotonic_time now{std::chrono::seconds(100)};
    const core::endpoint m_first{"10.0.0.1:7000"};
    const core::endpoint m_second{"10.0.0.2:7000"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_view_test);

} // namespace jackdawweir::fleet
