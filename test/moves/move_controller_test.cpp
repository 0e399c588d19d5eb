#include "jackdawweir/moves/move_controller.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "moves/support.h"
#include "support/property.h"

namespace jackdawweir::moves {

namespace {

using document::move_decision;
using document::move_phase;

constexpr double tick = 1.0;

// Commits each decision immediately and records it.
struct simulated_leader {
    explicit simulated_leader(document::move_state start, std::uint64_t newSlots = 100)
        : state(std::move(start))
    {
        controller.handle(announced_slots{test::quotes, test::oldVersion, 100}, test::at(0));
        controller.handle(announced_slots{test::quotes, test::newVersion, newSlots}, test::at(0));
        commit();
    }

    void commit()
    {
        controller.handle(test::committed(++number, {state}), test::at(seconds));
    }

    void step(const std::vector<evidence_cell> &cells)
    {
        seconds += tick;
        controller.handle(evidence_batch{cells}, test::at(seconds));
        const auto effects
            = controller.handle(controller_tick{test::wallAt(seconds)}, test::at(seconds));
        for (const move_effect &effect : effects) {
            decisions.push_back(std::get<propose_decision>(effect).decision);
            state.phase = decisions.back().phase;
            state.newShareBasisPoints = decisions.back().newShareBasisPoints;
            commit();
        }
    }

    // Simulates `oldRequests` requests per second without faults, of which the new version gets its
    // share.
    void runWithoutFaults(int oldRequests, double until)
    {
        double unsentRequests = 0;
        while (seconds < until) {
            unsentRequests += oldRequests * (state.newShareBasisPoints / 10'000.0);
            const int sent = static_cast<int>(unsentRequests);
            unsentRequests -= sent;
            step({test::cellOf(test::oldVersion, "r", oldRequests - sent, 0),
                  test::cellOf(test::newVersion, "r", sent, 0)});
        }
    }

    move_controller controller{controller_settings{}};
    document::move_state state;
    std::uint64_t number = 0;
    double seconds = 0;
    std::vector<move_decision> decisions;
};

breaker_report openBreaker()
{
    return {core::host_name{"relay"},
            core::data_centre_name{"dc"},
            7,
            test::quotes,
            test::newVersion,
            "errors"};
}

} // namespace

class move_controller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(move_controller_test);
    CPPUNIT_TEST(startsWithinBoundOfPercentAndRequests);
    CPPUNIT_TEST(isDoneInTimeAtAnyTraffic);
    CPPUNIT_TEST(raisesNoFasterThanRamp);
    CPPUNIT_TEST(neverExceedsAnnouncedSlots);
    CPPUNIT_TEST(revertsWithoutNewServers);
    CPPUNIT_TEST(revertsForOpenBreaker);
    CPPUNIT_TEST(revertsBadVersionAfterDone);
    CPPUNIT_TEST(keepsDoneMoveWithoutOldServers);
    CPPUNIT_TEST(decidesNothingForEndedMove);
    CPPUNIT_TEST(ignoresOlderConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a first share that sends many requests to an untested version (property P4 in
    // docs/design.md).
    void startsWithinBoundOfPercentAndRequests()
    {
        jackdawweir::test::checkProperty("the first share is small", [](unsigned rate) {
            const int requestsPerSecond = 1 + static_cast<int>(rate % 300);
            simulated_leader tested(test::runningMove());
            tested.step({});
            while (tested.decisions.empty()) {
                tested.runWithoutFaults(requestsPerSecond, tested.seconds + tick);
            }
            const double share = tested.decisions.front().newShareBasisPoints / 10'000.0;
            const controller_settings settings;
            // The first share is a little above the start of the ramp, since some time has passed.
            constexpr double slack = 1.3;
            const double sent = share * requestsPerSecond
                * std::chrono::duration<double>(settings.feedbackTime).count();
            RC_ASSERT(share <= 0.05 * slack);
            RC_ASSERT(sent <= settings.startRequests * slack);
        });
    }

    // Guards against a move that misses its completion time because there is little traffic.
    void isDoneInTimeAtAnyTraffic()
    {
        for (const int requestsPerSecond : {0, 1, 4, 50}) {
            simulated_leader tested(test::runningMove());
            tested.runWithoutFaults(requestsPerSecond, 1799);
            CPPUNIT_ASSERT(tested.state.phase == move_phase::Done);
            CPPUNIT_ASSERT_EQUAL(10'000U, tested.state.newShareBasisPoints);
        }
    }

    // Guards against a share that rises faster than the ramp over the time allowed.
    void raisesNoFasterThanRamp()
    {
        simulated_leader tested(test::runningMove());
        tested.runWithoutFaults(50, 600);
        CPPUNIT_ASSERT(tested.state.newShareBasisPoints > 0);
        CPPUNIT_ASSERT(tested.state.newShareBasisPoints < 2500);
    }

    // Guards against sending more traffic than the new servers have slots for.
    void neverExceedsAnnouncedSlots()
    {
        jackdawweir::test::checkProperty("the share fits the slots", [](unsigned slotCount) {
            const std::uint64_t slots = slotCount % 4;
            simulated_leader tested(test::runningMove(), slots);
            // 300 requests of 10 ms each second keep 3 slots busy.
            tested.runWithoutFaults(300, 1790);
            for (const move_decision &made : tested.decisions) {
                const double needed = 3 * made.newShareBasisPoints / 10'000.0;
                RC_ASSERT(needed <= static_cast<double>(slots) + 0.01);
            }
        });
    }

    // Guards against a move without an outcome if there is no new server at the completion time.
    void revertsWithoutNewServers()
    {
        simulated_leader tested(test::runningMove(), 0);
        tested.runWithoutFaults(5, 1801);
        CPPUNIT_ASSERT(tested.state.phase == move_phase::Reverted);
    }

    // Guards against ignoring the open circuit breaker of a data centre that has reconnected.
    void revertsForOpenBreaker()
    {
        for (const move_phase phase : {move_phase::Running, move_phase::Done}) {
            document::move_state start = test::runningMove(10'000);
            start.phase = phase;
            simulated_leader tested(start);
            tested.controller.handle(openBreaker(), test::at(1));
            tested.step({});
            const bool wasDone = phase == move_phase::Done;
            CPPUNIT_ASSERT(tested.state.phase
                           == (wasDone ? move_phase::RevertedAfterDone : move_phase::Reverted));
            CPPUNIT_ASSERT_EQUAL(0U, tested.state.newShareBasisPoints);
        }
    }

    // Guards against keeping a version that turns out to be bad after its move is done.
    void revertsBadVersionAfterDone()
    {
        simulated_leader tested(test::runningMove());
        tested.runWithoutFaults(4, 1790);
        CPPUNIT_ASSERT(tested.state.phase == move_phase::Done);
        for (int index = 0; index < 30; ++index) {
            const bool isHeld = tested.state.newShareBasisPoints == 0;
            tested.step({isHeld ? test::cellOf(test::oldVersion, "r", 4, 0)
                                : test::cellOf(test::newVersion, "r", 4, 4)});
        }
        CPPUNIT_ASSERT(tested.state.phase == move_phase::RevertedAfterDone);
    }

    // Guards against a rollback to servers that no longer exist.
    void keepsDoneMoveWithoutOldServers()
    {
        document::move_state start = test::runningMove(10'000);
        start.phase = move_phase::Done;
        simulated_leader tested(start);
        tested.controller.handle(announced_slots{test::quotes, test::oldVersion, 0}, test::at(1));
        tested.controller.handle(openBreaker(), test::at(1));
        tested.step({test::cellOf(test::newVersion, "r", 50, 50)});
        CPPUNIT_ASSERT(tested.decisions.empty());
    }

    // Guards against retrying a move after its rollback.
    void decidesNothingForEndedMove()
    {
        document::move_state ended = test::runningMove();
        ended.phase = move_phase::Reverted;
        simulated_leader tested(ended);
        tested.runWithoutFaults(10, 1801);
        CPPUNIT_ASSERT(tested.decisions.empty());
    }

    // Guards against a delayed message that restarts a reverted move.
    void ignoresOlderConfiguration()
    {
        document::move_state ended = test::runningMove();
        ended.phase = move_phase::Reverted;
        simulated_leader tested(ended);
        tested.controller.handle(test::committed(0, {test::runningMove()}), test::at(1));
        tested.runWithoutFaults(10, 1801);
        CPPUNIT_ASSERT(tested.decisions.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(move_controller_test);

} // namespace jackdawweir::moves
