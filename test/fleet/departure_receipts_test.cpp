#include "jackdawweir/fleet/departure_receipts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

class departure_receipts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_receipts_test);
    CPPUNIT_TEST(acknowledgesOnceTwoSourcesHaveStoredADeparture);
    CPPUNIT_TEST(countsASourceOnce);
    CPPUNIT_TEST(ignoresACopyOfAnEarlierStart);
    CPPUNIT_TEST(acceptsASingleCopyWhileOtherSourcesAreSilent);
    CPPUNIT_TEST(refusesASingleCopyOfAnotherSource);
    CPPUNIT_TEST(refusesADepartureThatNoSourceStores);
    CPPUNIT_TEST(acknowledgesARepeatedCallImmediately);
    CPPUNIT_TEST(repeatsTheNoticeWhileADepartureIsAwaited);
    CPPUNIT_TEST(acceptsAHandlerThatAwaitsAnotherDeparture);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an acknowledged departure that is lost with one disk.
    void acknowledgesOnceTwoSourcesHaveStoredADeparture()
    {
        await(m_one);
        CPPUNIT_ASSERT(!m_outcome);
        m_receipts.add(m_first, {m_one}, now);
        CPPUNIT_ASSERT(!m_outcome);
        m_receipts.add(m_second, {m_one}, now);
        CPPUNIT_ASSERT(m_outcome == true);
    }

    void countsASourceOnce()
    {
        await(m_one);
        m_receipts.add(m_first, {m_one}, now);
        m_receipts.add(m_first, {m_one}, now + milliseconds(100));
        CPPUNIT_ASSERT(!m_outcome);
    }

    // Guards against an acknowledgement that applies to an earlier start of the server only.
    void ignoresACopyOfAnEarlierStart()
    {
        await(m_one);
        const departure earlier{m_one.instance, m_one.startedUpTo - milliseconds(1)};
        m_receipts.add(m_first, {earlier}, now);
        m_receipts.add(m_second, {earlier}, now);
        CPPUNIT_ASSERT(!m_outcome);
    }

    // Guards against a data centre that is cut off and acknowledges no departure.
    void acceptsASingleCopyWhileOtherSourcesAreSilent()
    {
        await(m_one, m_first);
        m_receipts.add(m_first, {m_one}, now + milliseconds(5));
        m_receipts.expire(now + milliseconds(399));
        CPPUNIT_ASSERT(!m_outcome);
        m_receipts.expire(now + milliseconds(400));
        CPPUNIT_ASSERT(m_outcome == true);
    }

    // Guards against a single copy at a source that the node does not ask after its next start.
    void refusesASingleCopyOfAnotherSource()
    {
        await(m_one, m_second);
        m_receipts.add(m_first, {m_one}, now + milliseconds(5));
        m_receipts.expire(now + milliseconds(849));
        CPPUNIT_ASSERT(!m_outcome);
        m_receipts.expire(now + milliseconds(850));
        CPPUNIT_ASSERT(m_outcome == false);
    }

    // Guards against an acknowledgement that only the memory of the node holds.
    void refusesADepartureThatNoSourceStores()
    {
        await(m_one);
        m_receipts.expire(now + milliseconds(849));
        CPPUNIT_ASSERT(!m_outcome);
        m_receipts.expire(now + milliseconds(850));
        CPPUNIT_ASSERT(m_outcome == false);
    }

    void acknowledgesARepeatedCallImmediately()
    {
        m_receipts.add(m_first, {m_one}, now);
        m_receipts.add(m_second, {m_one}, now);
        await(m_one);
        CPPUNIT_ASSERT(m_outcome == true);
        CPPUNIT_ASSERT(!m_receipts.isNoticeDue(now));
    }

    void repeatsTheNoticeWhileADepartureIsAwaited()
    {
        CPPUNIT_ASSERT(!m_receipts.isNoticeDue(now));
        await(m_one);
        CPPUNIT_ASSERT(m_receipts.isNoticeDue(now));
        CPPUNIT_ASSERT(!m_receipts.isNoticeDue(now + milliseconds(99)));
        CPPUNIT_ASSERT(m_receipts.isNoticeDue(now + milliseconds(100)));
        m_receipts.expire(now + seconds(1));
        CPPUNIT_ASSERT(!m_receipts.isNoticeDue(now + seconds(1)));
    }

    void acceptsAHandlerThatAwaitsAnotherDeparture()
    {
        const departure other{instance_name{"two"}, milliseconds(1000)};
        m_receipts.await(
            m_one, {}, [&](bool) { await(other); }, now);
        m_receipts.add(m_first, {m_one, other}, now);
        m_receipts.add(m_second, {m_one, other}, now);
        CPPUNIT_ASSERT(m_outcome == true);
    }

private:
    void await(const departure &awaited, const core::endpoint &soleSource = {})
    {
        m_receipts.await(
            awaited, soleSource, [this](bool isStored) { m_outcome = isStored; }, now);
    }

    const departure m_one{instance_name{"one"}, milliseconds(5000)};
    const core::endpoint m_first{"10.0.0.1:7000"};
    const core::endpoint m_second{"10.0.0.2:7000"};
    static constexpr core::monotonic_time now{seconds(100)};
    departure_receipts m_receipts;
    std::optional<bool> m_outcome;
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_receipts_test);

} // namespace jackdawweir::fleet
