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

// Commits each decision at once and keeps all of them.
struct leader {
    explicit leader(document::move_state start, std::uint64_t newSlots = 100)
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

    // Sends `oldRequests` and the new version's part of them each second, without faults.
    void runWithoutFaults(int oldRequests, double until)
    {
        double owed = 0;
        while (seconds < until) {
            owed += oldRequests * (state.newShareBasisPoints / 10'000.0);
            const int sent = static_cast<int>(owed);
            owed -= sent;
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
    CPPUNIT_TEST(raisesNoFasterThanTimeAllows);
    CPPUNIT_TEST(neverExceedsAnnouncedSlots);
    CPPUNIT_TEST(revertsWithoutNewServers);
    CPPUNIT_TEST(revertsForOpenBreaker);
    CPPUNIT_TEST(revertsBadVersionAfterDone);
    CPPUNIT_TEST(keepsDoneMoveWithoutOldServers);
    CPPUNIT_TEST(decidesNothingForEndedMove);
    CPPUNIT_TEST(ignoresOlderConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a first share that sends many requests to an untested version (P4).
    void startsWithinBoundOfPercentAndRequests()
    {
        jackdawweir::test::checkProperty("the first share is small", [](unsigned rate) {
            const int perSecond = 1 + static_cast<int>(rate % 300);
            leader each(test::runningMove());
            each.step({});
            while (each.decisions.empty()) {
                each.runWithoutFaults(perSecond, each.seconds + tick);
            }
            const double share = each.decisions.front().newShareBasisPoints / 10'000.0;
            const controller_settings settings;
            // The share stands on the ramp when it is raised, a little above its start.
            constexpr double slack = 1.3;
            const double sent
                = share * perSecond * std::chrono::duration<double>(settings.feedbackTime).count();
            RC_ASSERT(share <= 0.05 * slack);
            RC_ASSERT(sent <= settings.startRequests * slack);
        });
    }

    // Guards against a move that misses its completion time for want of traffic.
    void isDoneInTimeAtAnyTraffic()
    {
        for (const int perSecond : {0, 1, 4, 50}) {
            leader each(test::runningMove());
            each.runWithoutFaults(perSecond, 1799);
            CPPUNIT_ASSERT(each.state.phase == move_phase::Done);
            CPPUNIT_ASSERT_EQUAL(10'000U, each.state.newShareBasisPoints);
        }
    }

    // Guards against a share that runs ahead of the time allowed.
    void raisesNoFasterThanTimeAllows()
    {
        leader each(test::runningMove());
        each.runWithoutFaults(50, 600);
        CPPUNIT_ASSERT(each.state.newShareBasisPoints > 0);
        CPPUNIT_ASSERT(each.state.newShareBasisPoints < 2500);
    }

    // Guards against more traffic than the new servers have slots for.
    void neverExceedsAnnouncedSlots()
    {
        jackdawweir::test::checkProperty("the share fits the slots", [](unsigned slotCount) {
            const std::uint64_t slots = slotCount % 4;
            leader each(test::runningMove(), slots);
            // 300 requests of 10 ms each second keep 3 slots busy.
            each.runWithoutFaults(300, 1790);
            for (const move_decision &made : each.decisions) {
                const double needed = 3 * made.newShareBasisPoints / 10'000.0;
                RC_ASSERT(needed <= static_cast<double>(slots) + 0.01);
            }
        });
    }

    // Guards against a move without an outcome when no new server has come by the completion time.
    void revertsWithoutNewServers()
    {
        leader each(test::runningMove(), 0);
        each.runWithoutFaults(5, 1801);
        CPPUNIT_ASSERT(each.state.phase == move_phase::Reverted);
    }

    // Guards against a healed data centre whose open circuit breaker is overruled.
    void revertsForOpenBreaker()
    {
        for (const move_phase phase : {move_phase::Running, move_phase::Done}) {
            document::move_state start = test::runningMove(10'000);
            start.phase = phase;
            leader each(start);
            each.controller.handle(openBreaker(), test::at(1));
            each.step({});
            const bool wasDone = phase == move_phase::Done;
            CPPUNIT_ASSERT(each.state.phase
                           == (wasDone ? move_phase::RevertedAfterDone : move_phase::Reverted));
            CPPUNIT_ASSERT_EQUAL(0U, each.state.newShareBasisPoints);
        }
    }

    // Guards against a version that proves bad after its move is done and stays in service.
    void revertsBadVersionAfterDone()
    {
        leader each(test::runningMove());
        each.runWithoutFaults(4, 1790);
        CPPUNIT_ASSERT(each.state.phase == move_phase::Done);
        for (int index = 0; index < 30; ++index) {
            const bool isHeld = each.state.newShareBasisPoints == 0;
            each.step({isHeld ? test::cellOf(test::oldVersion, "r", 4, 0)
                              : test::cellOf(test::newVersion, "r", 4, 4)});
        }
        CPPUNIT_ASSERT(each.state.phase == move_phase::RevertedAfterDone);
    }

    // Guards against a rollback to servers that are gone.
    void keepsDoneMoveWithoutOldServers()
    {
        document::move_state start = test::runningMove(10'000);
        start.phase = move_phase::Done;
        leader each(start);
        each.controller.handle(announced_slots{test::quotes, test::oldVersion, 0}, test::at(1));
        each.controller.handle(openBreaker(), test::at(1));
        each.step({test::cellOf(test::newVersion, "r", 50, 50)});
        CPPUNIT_ASSERT(each.decisions.empty());
    }

    // Guards against a move that is tried again after its rollback.
    void decidesNothingForEndedMove()
    {
        document::move_state ended = test::runningMove();
        ended.phase = move_phase::Reverted;
        leader each(ended);
        each.runWithoutFaults(10, 1801);
        CPPUNIT_ASSERT(each.decisions.empty());
    }

    // Guards against a late message that brings a reverted move back.
    void ignoresOlderConfiguration()
    {
        document::move_state ended = test::runningMove();
        ended.phase = move_phase::Reverted;
        leader each(ended);
        each.controller.handle(test::committed(0, {test::runningMove()}), test::at(1));
        each.runWithoutFaults(10, 1801);
        CPPUNIT_ASSERT(each.decisions.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(move_controller_test);

} // namespace jackdawweir::moves
