#include "jackdawweir/fleet/host_table.h"

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

class host_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_table_test);
    CPPUNIT_TEST(numbersOnlyRelevantChanges);
    CPPUNIT_TEST(listsExactlyTheAssignedHosts);
    CPPUNIT_TEST(listsARemovedHostAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    static host_record host(const std::string &name, std::uint64_t sequence)
    {
        host_record made;
        made.host.value = name;
        made.sequence = sequence;
        return made;
    }

    void numbersOnlyRelevantChanges()
    {
        host_table table(5);
        CPPUNIT_ASSERT(table.set(host("a", 1)));
        CPPUNIT_ASSERT(!table.set(host("a", 2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, table.find(core::host_name{"a"})->sequence);
        CPPUNIT_ASSERT(table.since(5, table.number()).isEmpty());
    }

    void listsExactlyTheAssignedHosts()
    {
        host_table table(5);
        CPPUNIT_ASSERT(table.assign({host("a", 1), host("b", 1)}));
        const std::uint64_t held = table.number();
        CPPUNIT_ASSERT(!table.assign({host("a", 2), host("b", 2)}));
        CPPUNIT_ASSERT(table.assign({host("b", 2), host("c", 1)}));
        const directory_changes changes = table.since(5, held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), changes.changed[0].host.value);
        CPPUNIT_ASSERT(changes.removed == std::vector{core::host_name{"a"}});
        CPPUNIT_ASSERT(table.find(core::host_name{"a"}) == nullptr);
    }

    // Guards against a host that stays removed because its record is the same as before.
    void listsARemovedHostAgain()
    {
        host_table table(5);
        table.set(host("a", 1));
        CPPUNIT_ASSERT(table.remove(core::host_name{"a"}));
        CPPUNIT_ASSERT(!table.remove(core::host_name{"a"}));
        CPPUNIT_ASSERT(table.findLast(core::host_name{"a"}) != nullptr);
        CPPUNIT_ASSERT(table.set(host("a", 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.hosts().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_table_test);

} // namespace jackdawweir::fleet
