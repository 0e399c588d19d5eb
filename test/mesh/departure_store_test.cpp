#include "jackdawweir/mesh/departure_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/storage/memory_store.h"

namespace jackdawweir::mesh {

using std::chrono::milliseconds;
using std::chrono::seconds;

class departure_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_store_test);
    CPPUNIT_TEST(holdsNothingBeforeTheFirstSave);
    CPPUNIT_TEST(keepsWhatWasSavedThroughAPowerLoss);
    CPPUNIT_TEST(countsLoadedDeparturesAsOld);
    CPPUNIT_TEST(reportsADamagedFile);
    CPPUNIT_TEST(savesAgainAfterTheDiskWasFull);
    CPPUNIT_TEST(remembersWhetherTheDeparturesAreComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsNothingBeforeTheFirstSave()
    {
        departure_store store = openedStore();
        CPPUNIT_ASSERT(core::valueIn(store.load()).empty());
    }

    // Guards against departures that are acknowledged before they are on disk.
    void keepsWhatWasSavedThroughAPowerLoss()
    {
        CPPUNIT_ASSERT(core::isOk(openedStore().save(m_departed)));
        m_disk.crash();
        const core::result<fleet::departed_servers> loaded = openedStore().load();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, core::valueIn(loaded).size());
        const fleet::departure &held = core::valueIn(loaded).at(m_host).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), held.instance.value);
        CPPUNIT_ASSERT(held.startedUpTo == milliseconds(5000));
    }

    // Guards against a drain period that begins anew when all processes restart.
    void countsLoadedDeparturesAsOld()
    {
        CPPUNIT_ASSERT(core::isOk(openedStore().save(m_departed)));
        const core::result<fleet::departed_servers> loaded = openedStore().load();
        CPPUNIT_ASSERT(core::valueIn(loaded).at(m_host).at(0).age >= seconds(10));
    }

    void reportsADamagedFile()
    {
        CPPUNIT_ASSERT(core::isOk(openedStore().save(m_departed)));
        m_disk.flipBit("departures.snapshot", 12);
        const core::result<fleet::departed_servers> loaded = openedStore().load();
        CPPUNIT_ASSERT(core::errorIn(loaded) != nullptr);
        CPPUNIT_ASSERT(core::errorIn(loaded)->code == core::error_code::DataLoss);
    }

    // Guards against a source that stores no departures for good after one failed write.
    void savesAgainAfterTheDiskWasFull()
    {
        departure_store store = openedStore();
        m_disk.failNextWrite();
        CPPUNIT_ASSERT(!core::isOk(store.save(m_departed)));
        CPPUNIT_ASSERT(core::isOk(store.save(m_departed)));
        m_disk.crash();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, core::valueIn(openedStore().load()).size());
    }

    // Guards against a source that has lost its disk and states that it knows all departures.
    void remembersWhetherTheDeparturesAreComplete()
    {
        CPPUNIT_ASSERT(!core::valueIn(openedStore().loadCompleteness()));
        CPPUNIT_ASSERT(core::isOk(openedStore().save(m_departed)));
        CPPUNIT_ASSERT(!core::valueIn(openedStore().loadCompleteness()));
        CPPUNIT_ASSERT(core::isOk(openedStore().saveCompleteness(true)));
        m_disk.crash();
        CPPUNIT_ASSERT(core::valueIn(openedStore().loadCompleteness()));
        CPPUNIT_ASSERT(core::isOk(openedStore().saveCompleteness(false)));
        CPPUNIT_ASSERT(!core::valueIn(openedStore().loadCompleteness()));
    }

private:
    departure_store openedStore()
    {
        return departure_store([this]() -> core::result<std::unique_ptr<storage::store>> {
            return storage::openMemoryStore(m_disk);
        });
    }

    const core::host_name m_host{"host-1"};
    const fleet::departed_servers m_departed{
        {m_host, {fleet::departure{fleet::instance_name{"one"}, milliseconds(5000)}}}};
    storage::memory_disk m_disk;
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_store_test);

} // namespace jackdawweir::mesh
