#include "jackdawweir/forwarding/slot_reserve.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class slot_reserve_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_reserve_test);
    CPPUNIT_TEST(keepsNothingWithoutUrgentRequests);
    CPPUNIT_TEST(keepsTheSlotsThatUrgentRequestsUse);
    CPPUNIT_TEST(keepsNothingFromShortOrEquallyUrgentRequests);
    CPPUNIT_TEST(releasesTheSlotsOnceUrgentRequestsEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr request_urgency urgent{0, 0};
    static constexpr request_urgency patient{0, 2};

    // Ten urgent requests a second, of 200 ms each, that can wait for 240 ms: two slots on average.
    static void playUrgentRequests(slot_reserve &reserve)
    {
        for (int each = 0; each < 100; ++each) {
            reserve.noteArrival(
                urgent, milliseconds(200), milliseconds(240), start + each * milliseconds(100));
        }
    }

    static std::uint32_t keptFrom(const slot_reserve &reserve,
                                  request_urgency urgency,
                                  milliseconds runTime,
                                  core::monotonic_time now)
    {
        constexpr std::uint32_t slots = 9;
        return reserve.slotsKeptFrom(urgency, runTime, slots, now);
    }

    void keepsNothingWithoutUrgentRequests()
    {
        slot_reserve reserve{{}};
        reserve.noteArrival(patient, milliseconds(720), milliseconds(3000), start);
        CPPUNIT_ASSERT_EQUAL(0U, keptFrom(reserve, patient, milliseconds(720), start));
    }

    void keepsTheSlotsThatUrgentRequestsUse()
    {
        slot_reserve reserve{{}};
        playUrgentRequests(reserve);
        CPPUNIT_ASSERT_EQUAL(2U, keptFrom(reserve, patient, milliseconds(720), end));
    }

    // Guards against idle slots where the urgent requests can wait for the end of a run.
    void keepsNothingFromShortOrEquallyUrgentRequests()
    {
        slot_reserve reserve{{}};
        playUrgentRequests(reserve);
        CPPUNIT_ASSERT_EQUAL(0U, keptFrom(reserve, patient, milliseconds(100), end));
        CPPUNIT_ASSERT_EQUAL(0U, keptFrom(reserve, urgent, milliseconds(720), end));
    }

    void releasesTheSlotsOnceUrgentRequestsEnd()
    {
        slot_reserve reserve{{}};
        playUrgentRequests(reserve);
        CPPUNIT_ASSERT_EQUAL(
            0U, keptFrom(reserve, patient, milliseconds(720), end + std::chrono::seconds(6)));
    }

private:
    static constexpr core::monotonic_time start{std::chrono::seconds(100)};
    static constexpr core::monotonic_time end = start + std::chrono::seconds(10);
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_reserve_test);

} // namespace jackdawweir::forwarding
