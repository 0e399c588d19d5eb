#include "jackdawweir/forwarding/peer_watch.h"

#include <algorithm>
#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class peer_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_watch_test);
    CPPUNIT_TEST(findsANodeUnreachableThatAnswersNoProbe);
    CPPUNIT_TEST(keepsANodeReachableThatReplies);
    CPPUNIT_TEST(closesTheLinkOfANodeThatSendsNothing);
    CPPUNIT_TEST(reportsEachChangeOnce);
    CPPUNIT_TEST(watchesNoNodeWithoutRequests);
    CPPUNIT_TEST(probesAnUnreachableNodeLessAndLessOften);
    CPPUNIT_TEST(spreadsTheProbesOfManyNodes);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsANodeUnreachableThatAnswersNoProbe()
    {
        m_watch.sent(peer(1), m_now);
        const totals seen = run(seconds(1), {{peer(1), true}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen.silent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_watch.unreachableCount());
    }

    void keepsANodeReachableThatReplies()
    {
        m_watch.sent(peer(1), m_now);
        totals seen;
        for (int step = 0; step < 100; ++step) {
            seen += run(milliseconds(50), {{peer(1), true}});
            CPPUNIT_ASSERT(!m_watch.received(peer(1), m_now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen.silent);
    }

    // Guards against a link that stays open and carries nothing.
    void closesTheLinkOfANodeThatSendsNothing()
    {
        m_watch.sent(peer(1), m_now);
        m_watch.connectFailed(peer(1), m_now);
        const totals seen = run(seconds(10), {});
        CPPUNIT_ASSERT(seen.closed > 0);
    }

    void reportsEachChangeOnce()
    {
        m_watch.sent(peer(1), m_now);
        CPPUNIT_ASSERT(m_watch.connectFailed(peer(1), m_now));
        CPPUNIT_ASSERT(!m_watch.connectFailed(peer(1), m_now));
        CPPUNIT_ASSERT(m_watch.received(peer(1), m_now));
        CPPUNIT_ASSERT(!m_watch.received(peer(1), m_now));
    }

    void watchesNoNodeWithoutRequests()
    {
        CPPUNIT_ASSERT(!m_watch.connectFailed(peer(1), m_now));
        CPPUNIT_ASSERT(!m_watch.isWatched(peer(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run(seconds(5), {}).probed);
    }

    // Guards against a node that is gone for long and costs as much as one that returns.
    void probesAnUnreachableNodeLessAndLessOften()
    {
        for (int node = 0; node < 100; ++node) {
            m_watch.sent(peer(node), m_now);
            m_watch.connectFailed(peer(node), m_now);
        }
        const std::size_t first = run(seconds(1), {}).probed;
        run(seconds(10), {});
        const std::size_t later = run(seconds(1), {}).probed;
        CPPUNIT_ASSERT(first >= 150);
        CPPUNIT_ASSERT(later >= 50 && later <= 120);
    }

    // Guards against a burst of connections after an event that cut a node off from all others: of
    // 840 hosts each other one is probed, and at no time more than a few.
    void spreadsTheProbesOfManyNodes()
    {
        constexpr std::size_t others = 839;
        for (std::size_t node = 0; node < others; ++node) {
            m_watch.sent(peer(static_cast<int>(node)), m_now);
            m_watch.connectFailed(peer(static_cast<int>(node)), m_now);
        }
        const core::monotonic_time begunAt = m_now;
        std::size_t mostAtOnce = 0;
        while (m_watch.unreachableCount() > 0 && m_now < begunAt + seconds(10)) {
            m_now += tick;
            const peer_actions due = m_watch.check({}, isListed, m_now);
            mostAtOnce = std::max(mostAtOnce, due.probed.size());
            for (const core::endpoint &each : due.probed) {
                m_watch.received(each, m_now);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_watch.unreachableCount());
        CPPUNIT_ASSERT(mostAtOnce <= peer_watch_settings().maxProbesPerCheck);
        CPPUNIT_ASSERT(m_now - begunAt <= seconds(6));
    }

private:
    struct totals {
        std::size_t probed = 0;
        std::size_t silent = 0;
        std::size_t closed = 0;

        totals &operator+=(const totals &other)
        {
            probed += other.probed;
            silent += other.silent;
            closed += other.closed;
            return *this;
        }
    };

    // The interval of checks in a node.
    static constexpr milliseconds tick{20};

    static core::endpoint peer(int number)
    {
        return core::endpoint{"host-" + std::to_string(number) + ":7000"};
    }

    static bool isListed(const core::endpoint &)
    {
        return true;
    }

    totals run(milliseconds duration, const peer_watch::busy_peers &busy)
    {
        totals seen;
        for (milliseconds passed{0}; passed < duration; passed += tick) {
            m_now += tick;
            const peer_actions due = m_watch.check(busy, isListed, m_now);
            seen += totals{due.probed.size(), due.silent.size(), due.closedLinks.size()};
        }
        return seen;
    }

    peer_watch m_watch{peer_watch_settings(), core::random_engine(1)};
    core::monotonic_time m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_watch_test);

} // namespace jackdawweir::forwarding
