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

struct local {
    explicit local(const std::string &self = "relay")
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

    // Shows a fault of the new version until the breaker is open.
    void open()
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
    CPPUNIT_TEST(closesForCommittedEndOnly);
    CPPUNIT_TEST(opensForReportOfItsDataCentre);
    CPPUNIT_TEST(reportsAgainWhileOpen);
    CPPUNIT_TEST(staysClosedForOtherCauses);
    CPPUNIT_TEST(staysClosedForSharedFault);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a cut-off data centre that goes on sending to a bad version (P4).
    void opensOnLocalEvidence()
    {
        local place;
        place.open();
        CPPUNIT_ASSERT(place.state() == breaker_state::Open);
        CPPUNIT_ASSERT(place.breaker.isBlocked(test::quotes, test::newVersion));
        CPPUNIT_ASSERT(!place.breaker.isBlocked(test::quotes, test::oldVersion));
    }

    // Guards against a share raised without knowledge of the open breaker, when a partition heals.
    void staysOpenUnderNewerShareOfSameMove()
    {
        jackdawweir::test::checkProperty(
            "no share of the same move closes an open breaker",
            [](const std::vector<unsigned> &shares) {
                local place;
                place.open();
                std::uint64_t number = 1;
                for (const unsigned share : shares) {
                    document::move_state state = test::runningMove(share % 10'001);
                    state.phase = share % 2 == 0 ? move_phase::Running : move_phase::Done;
                    place.commit(++number, state);
                    RC_ASSERT(place.state() == breaker_state::Open);
                }
            });
    }

    // Guards against a breaker that blocks the next move, and against an older state that closes
    // it.
    void closesForCommittedEndOnly()
    {
        local place;
        place.open();
        document::move_state ended = test::runningMove();
        ended.phase = move_phase::Reverted;
        place.commit(0, ended);
        CPPUNIT_ASSERT(place.state() == breaker_state::Open);
        place.commit(2, ended);
        CPPUNIT_ASSERT(place.state() == breaker_state::Closed);
    }

    // Guards against nodes that go on sending after the relay of their data centre has rolled back.
    void opensForReportOfItsDataCentre()
    {
        local node("node");
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

    // Guards against a report that is lost while the data centre is cut off.
    void reportsAgainWhileOpen()
    {
        local place;
        place.open();
        std::size_t reports = 0;
        for (int index = 0; index < 8; ++index) {
            place.seconds += 0.25;
            reports += reportsIn(place.breaker.handle(breaker_tick{}, test::at(place.seconds)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, reports);
    }

    // Guards against a rollback for a cause down the call chain, overload or a cold start.
    void staysClosedForOtherCauses()
    {
        for (const fault_origin origin :
             {fault_origin::Downstream, fault_origin::Overload, fault_origin::ColdStart}) {
            local place;
            for (int index = 0; index < 200; ++index) {
                place.add(2, 2, 2, 0, origin);
                CPPUNIT_ASSERT(place.state() == breaker_state::Closed);
            }
        }
    }

    // Guards against a rollback for a fault of something that both versions use.
    void staysClosedForSharedFault()
    {
        local place;
        place.add(50, 0, 200, 0, fault_origin::None);
        for (int index = 0; index < 200; ++index) {
            const bool isBlocked = place.breaker.isBlocked(test::quotes, test::newVersion);
            place.add(isBlocked ? 0 : 2, isBlocked ? 0 : 1, 2, 1, fault_origin::Server);
            CPPUNIT_ASSERT(place.state() != breaker_state::Open);
        }
        CPPUNIT_ASSERT(place.state() == breaker_state::Closed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(circuit_breaker_test);

} // namespace jackdawweir::moves
