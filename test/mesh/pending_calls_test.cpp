#include "jackdawweir/mesh/pending_calls.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::mesh {

using std::chrono::seconds;

class pending_calls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pending_calls_test);
    CPPUNIT_TEST(endsACallWithTheReplyOfItsPeer);
    CPPUNIT_TEST(keepsACallThatAnotherPeerRepliesTo);
    CPPUNIT_TEST(endsEachCallOnce);
    CPPUNIT_TEST(endsCallsAtTheirDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    void endsACallWithTheReplyOfItsPeer()
    {
        m_calls.add(8, m_leader, 'a', m_now + seconds(1));
        m_calls.add(9, m_leader, 'b', m_now + seconds(2));
        const auto call = m_calls.take(9, m_leader);
        CPPUNIT_ASSERT(call.has_value());
        CPPUNIT_ASSERT_EQUAL('b', call->handler);
        CPPUNIT_ASSERT(call->deadline == m_now + seconds(2));
    }

    // Guards against a call that is completed by a process that never received it.
    void keepsACallThatAnotherPeerRepliesTo()
    {
        m_calls.add(8, m_leader, 'a', m_now + seconds(1));
        CPPUNIT_ASSERT(!m_calls.take(8, m_other));
        CPPUNIT_ASSERT(!m_calls.take(7, m_leader));
        CPPUNIT_ASSERT(m_calls.take(8, m_leader).has_value());
    }

    // Guards against an operator's call that is answered twice.
    void endsEachCallOnce()
    {
        m_calls.add(8, m_leader, 'a', m_now + seconds(1));
        CPPUNIT_ASSERT(m_calls.take(8, m_leader).has_value());
        CPPUNIT_ASSERT(!m_calls.take(8, m_leader));
        CPPUNIT_ASSERT(m_calls.takeExpired(m_now + seconds(1)).empty());
    }

    void endsCallsAtTheirDeadline()
    {
        m_calls.add(8, m_leader, 'a', m_now + seconds(1));
        m_calls.add(9, m_leader, 'b', m_now + seconds(2));
        const auto expired = m_calls.takeExpired(m_now + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
        CPPUNIT_ASSERT_EQUAL('a', expired[0].handler);
        CPPUNIT_ASSERT(!m_calls.take(8, m_leader));
        CPPUNIT_ASSERT(m_calls.take(9, m_leader).has_value());
    }

private:
    core::monotonic_time m_now{seconds(100)};
    core::endpoint m_leader{"10.0.0.1:7000"};
    core::endpoint m_other{"10.0.0.2:7000"};
    pending_calls<char> m_calls;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_calls_test);

} // namespace jackdawweir::mesh
