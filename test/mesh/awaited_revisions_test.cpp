#include "jackdawweir/mesh/awaited_revisions.h"

#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::mesh {

using std::chrono::milliseconds;

class awaited_revisions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(awaited_revisions_test);
    CPPUNIT_TEST(waitsForTheRevision);
    CPPUNIT_TEST(failsAtTheDeadline);
    CPPUNIT_TEST(completesAReadThatAddsAnother);
    CPPUNIT_TEST(confirmsAReadInAFewBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void add(std::uint64_t revision)
    {
        m_reads.add(
            revision, m_deadline, [this](bool isReached) { m_outcomes.push_back(isReached); });
    }

    // Guards against a read that returns an older policy than the leader has confirmed.
    void waitsForTheRevision()
    {
        add(7);
        m_reads.reached(6);
        CPPUNIT_ASSERT(m_outcomes.empty());
        m_reads.reached(9);
        CPPUNIT_ASSERT(m_outcomes == std::vector<bool>{true});
    }

    void failsAtTheDeadline()
    {
        add(7);
        m_reads.expire(m_deadline - milliseconds(1));
        CPPUNIT_ASSERT(m_outcomes.empty());
        m_reads.expire(m_deadline);
        CPPUNIT_ASSERT(m_outcomes == std::vector<bool>{false});
        m_reads.reached(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_outcomes.size());
    }

    void completesAReadThatAddsAnother()
    {
        m_reads.add(3, m_deadline, [this](bool) { add(4); });
        m_reads.reached(4);
        CPPUNIT_ASSERT(m_outcomes == std::vector<bool>{true});
    }

    // Guards against a confirmation that carries the whole policy between data centres.
    void confirmsAReadInAFewBytes()
    {
        const fleet::message reply = fleet::view_reply{1'000'000, 1'000'000};
        CPPUNIT_ASSERT(wire::encode(reply).size() < 32);
    }

private:
    awaited_revisions m_reads;
    std::vector<bool> m_outcomes;
    const core::monotonic_time m_deadline = core::monotonic_time(milliseconds(5'000));
};

CPPUNIT_TEST_SUITE_REGISTRATION(awaited_revisions_test);

} // namespace jackdawweir::mesh
