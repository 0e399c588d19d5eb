#include "jackdawweir/moves/circuit_breaker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "moves/support.h"
#include "support/property.h"

namespace jackdawweir::moves {

namespace {

using document::move_phase;

breaker_settings settingsOf(const std::string &self)
{
    return {core::host_name{self},
            core::data_centre_name{"dc"},
            breakerComparison(1),
            std::chrono::milliseconds(500)};
}

struct breaker_fixture {
    explicit breaker_fixture(const std::string &self = "relay")
        : breaker(settingsOf(self))
    {
        commit(1, test::runningMove(5000));
    }

    void commit(std::uint64_t number, const document::move_state &state)
    {
        breaker.handle(test::committed(number, {state}), test::at(seconds));
    }

    std::vector<breaker_effect>
    add(int newRequests, int newFaults, int oldRequests, int oldFaults, fault_origin origin)
    {
        seconds += 0.25;
        return breaker.handle(
            evidence_batch{{test::cellOf(test::newVersion, "r", newRequests, newFaults, origin),
                            test::cellOf(test::oldVersion, "r", oldRequests, oldFaults, origin)}},
            test::at(seconds));
    }

    // Adds faults of the new version until the breaker is open.
    void injectFaultsUntilOpen()
    {
        add(50, 0, 200, 0, fault_origin::None);
        for (int index = 0; index < 60 && state() != breaker_state::Open; ++index) {
            const bool isBlocked = breaker.isBlocked(test::quotes, test::newVersion);
            add(isBlocked ? 0 : 2, isBlocked ? 0 : 2, 2, 0, fault_origin::Server);
        }
    }

    breaker_state state() const
    {
        return breaker.stateOf(test::quotes);
    }

    circuit_breaker breaker;
    double seconds = 1;
};

std::size_t reportsIn(const std::vector<breaker_effect> &effects)
{
    std::size_t count = 0;
    for (const breaker_effect &effect : effects) {
        count += std::holds_alternative<send_breaker_report>(effect) ? 1 : 0;
    }
    return count;
}

} // namespace

class circuit_breaker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(circuit_breaker_test);
    CPPUNIT_TEST(opensOnLocalEvidence);
    CPPUNIT_TEST(staysOpenUnderNewerShareOfSameMove);
    CPPUNIT_TEST(closesOnlyWhenACommittedStateEndsTheMove);
    CPPUNIT_TEST(opensForReportOfItsDataCentre);
    CPPUNIT_TEST(reportsAgainWhileOpen);
    CPPUNIT_TEST(staysClosedForFaultsOutsideTheVersion);
    CPPUNIT_TEST(staysClosedForSharedFault);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a disconnected data centre that continues to send requests to a bad version
    // (property P4 in docs/design.md).
    void opensOnLocalEvidence()
    {
        breaker_fixture fixture;
        fixture.injectFaultsUntilOpen();
        CPPUNIT_ASSERT(fixture.state() == breaker_state::Open);
        CPPUNIT_ASSERT(fixture.breaker.isBlocked(test::quotes, test::newVersion));
        CPPUNIT_ASSERT(!fixture.breaker.isBlocked(test::quotes, test::oldVersion));
    }

    // Guards against closing the breaker after a partition because of a share that was raised
    // without knowledge of the open breaker.
    void staysOpenUnderNewerShareOfSameMove()
    {
        jackdawweir::test::checkProperty(
            "no share of the same move closes an open breaker",
            [](const std::vector<unsigned> &shares) {
                breaker_fixture fixture;
                fixture.injectFaultsUntilOpen();
                std::uint64_t number = 1;
                for (const unsigned share : shares) {
                    document::move_state state = test::runningMove(share % 10'001);
                    state.phase = share % 2 == 0 ? move_phase::Running : move_phase::Done;
                    fixture.commit(++number, state);
                    RC_ASSERT(fixture.state() == breaker_state::Open);
                }
            });
    }

    // Guards against a breaker that stays open for the next move, and against one that an older
    // state closes.
    void closesOnlyWhenACommittedStateEndsTheMove()
    {
        breaker_fixture fixture;
        fixture.injectFaultsUntilOpen();
        document::move_state ended = test::runningMove();
        ended.phase = move_phase::Reverted;
        fixture.commit(0, ended);
        CPPUNIT_ASSERT(fixture.state() == breaker_state::Open);
        fixture.commit(2, ended);
        CPPUNIT_ASSERT(fixture.state() == breaker_state::Closed);
    }

    // Guards against nodes that continue to send requests after the breaker at the relay of their
    // data centre has opened.
    void opensForReportOfItsDataCentre()
    {
        breaker_fixture node("node");
        breaker_report report{core::host_name{"relay"},
                              core::data_centre_name{"dc"},
                              6,
                              test::quotes,
                              test::newVersion,
                              "errors"};
        node.breaker.handle(report, test::at(2));
        CPPUNIT_ASSERT(node.state() == breaker_state::Closed);
        report.moveId = test::runningMove().id;
        node.breaker.handle(report, test::at(2));
        CPPUNIT_ASSERT(node.state() == breaker_state::Open);
    }

    // Guards against a report that is lost while the data centre is disconnected.
    void reportsAgainWhileOpen()
    {
        breaker_fixture fixture;
        fixture.injectFaultsUntilOpen();
        std::size_t reports = 0;
        for (int index = 0; index < 8; ++index) {
            fixture.seconds += 0.25;
            reports += reportsIn(fixture.breaker.handle(breaker_tick{}, test::at(fixture.seconds)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, reports);
    }

    // Guards against a rollback because of a downstream fault, an overload or a cold start.
    void staysClosedForFaultsOutsideTheVersion()
    {
        for (const fault_origin origin :
             {fault_origin::Downstream, fault_origin::Overload, fault_origin::ColdStart}) {
            breaker_fixture fixture;
            for (int index = 0; index < 200; ++index) {
                fixture.add(2, 2, 2, 0, origin);
                CPPUNIT_ASSERT(fixture.state() == breaker_state::Closed);
            }
        }
    }

    // Guards against a rollback because of a fault in a dependency that both versions use.
    void staysClosedForSharedFault()
    {
        breaker_fixture fixture;
        fixture.add(50, 0, 200, 0, fault_origin::None);
        for (int index = 0; index < 200; ++index) {
            const bool isBlocked = fixture.breaker.isBlocked(test::quotes, test::newVersion);
            fixture.add(isBlocked ? 0 : 2, isBlocked ? 0 : 1, 2, 1, fault_origin::Server);
            CPPUNIT_ASSERT(fixture.state() != breaker_state::Open);
        }
        CPPUNIT_ASSERT(fixture.state() == breaker_state::Closed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(circuit_breaker_test);

} // namespace jackdawweir::moves
