#include "jackdawweir/forwarding/server_statement.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

class server_statement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_statement_test);
    CPPUNIT_TEST(holdsALimitUntilAnAnswerStatesNone);
    CPPUNIT_TEST(keepsALimitThatARefusalDoesNotRepeat);
    CPPUNIT_TEST(ignoresMalformedLimits);
    CPPUNIT_TEST(reportsNotableChangesOnly);
    CPPUNIT_TEST(reportsALeaveOnce);
    CPPUNIT_TEST(adoptsTheLowestKnownLimitUntilTheFirstAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    using events = std::vector<statement_event>;

    static http::header_list limit(const std::string &value)
    {
        return {{"jackdawweir-server-limit", value}};
    }

    events apply(const http::header_list &headers, bool isOwnAnswer = true)
    {
        return m_statements.apply(headers, header_names{}, isOwnAnswer);
    }

    void holdsALimitUntilAnAnswerStatesNone()
    {
        CPPUNIT_ASSERT(apply(limit("12.5")) == events{statement_event::LimitStated});
        CPPUNIT_ASSERT_EQUAL(12.5, m_statements.current().requestsPerSecond);
        CPPUNIT_ASSERT(apply({}) == events{statement_event::LimitEnded});
        CPPUNIT_ASSERT_EQUAL(0.0, m_statements.current().requestsPerSecond);
        CPPUNIT_ASSERT(apply({}).empty());
    }

    // Guards against a server without a limit because it rejected one request without naming it.
    void keepsALimitThatARefusalDoesNotRepeat()
    {
        apply(limit("5"));
        CPPUNIT_ASSERT(apply({}, false).empty());
        CPPUNIT_ASSERT_EQUAL(5.0, m_statements.current().requestsPerSecond);
        apply(limit("4"), false);
        CPPUNIT_ASSERT_EQUAL(4.0, m_statements.current().requestsPerSecond);
    }

    void ignoresMalformedLimits()
    {
        apply(limit("5"));
        for (const char *value :
             {"", "0", "-1", "nan", "inf", "1e999", "5/s", " 5", "0x10", "five"}) {
            CPPUNIT_ASSERT(apply(limit(value)) == events{statement_event::Malformed});
            CPPUNIT_ASSERT_EQUAL(5.0, m_statements.current().requestsPerSecond);
        }
    }

    // Guards against one log line for each response of a server that adjusts its limit steadily.
    void reportsNotableChangesOnly()
    {
        apply(limit("10"));
        CPPUNIT_ASSERT(apply(limit("9")).empty());
        CPPUNIT_ASSERT_EQUAL(9.0, m_statements.current().requestsPerSecond);
        CPPUNIT_ASSERT(apply(limit("7.9")) == events{statement_event::LimitChanged});
    }

    void reportsALeaveOnce()
    {
        const http::header_list leaving{{"Jackdawweir-Server-Leaving", "1"}};
        CPPUNIT_ASSERT(apply({{"Jackdawweir-Server-Leaving", "0"}})
                       == events{statement_event::Malformed});
        CPPUNIT_ASSERT(!m_statements.current().isLeaving);
        CPPUNIT_ASSERT(apply(leaving) == events{statement_event::LeaveStated});
        CPPUNIT_ASSERT(apply(leaving).empty());
        CPPUNIT_ASSERT(apply({}).empty());
        CPPUNIT_ASSERT(m_statements.current().isLeaving);
    }

    // Guards against a limit that ends with the process that had read it, and against one that
    // outlives the server's own answer.
    void adoptsTheLowestKnownLimitUntilTheFirstAnswer()
    {
        const auto known = [](double limit, int startedAt) {
            return server_statement{limit, false, std::chrono::milliseconds(startedAt)};
        };
        statement_tracker restarted{std::chrono::milliseconds(7)};
        CPPUNIT_ASSERT(restarted.adopt(known(5, 6)).empty());
        CPPUNIT_ASSERT(restarted.adopt(known(0, 7)).empty());
        CPPUNIT_ASSERT(restarted.adopt(known(5, 7)) == events{statement_event::LimitAdopted});
        CPPUNIT_ASSERT(restarted.adopt(known(6, 7)).empty());
        CPPUNIT_ASSERT(restarted.adopt(known(4, 7)) == events{statement_event::LimitAdopted});
        CPPUNIT_ASSERT_EQUAL(4.0, restarted.current().requestsPerSecond);
        CPPUNIT_ASSERT(restarted.apply({}, header_names{}, true)
                       == events{statement_event::LimitEnded});
        CPPUNIT_ASSERT(restarted.adopt(known(4, 7)).empty());
        CPPUNIT_ASSERT_EQUAL(0.0, restarted.current().requestsPerSecond);
    }

private:
    statement_tracker m_statements;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_statement_test);

} // namespace jackdawweir::forwarding
