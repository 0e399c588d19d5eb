// Plays a full server that workspaces share, and compares what callers get with what they got from
// the order by targets alone.

#include <iomanip>
#include <iostream>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/shared_server_model.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class shared_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_server_test);
    CPPUNIT_TEST(protectsTheOtherWorkspacesFromOneOfManyTimesItsLoad);
    CPPUNIT_TEST(sharesBetweenFiveThousandWorkspaces);
    CPPUNIT_TEST(keepsSlotsForShortUrgentRequestsDuringABurstOfLongOnes);
    CPPUNIT_TEST(wastesNoSlotsWithoutUrgentRequests);
    CPPUNIT_TEST(rewardsNoCallersThatRepeatAtOnce);
    CPPUNIT_TEST(keepsTheOrderWithoutWorkspaces);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr std::uint32_t slots = 9;
    static constexpr std::chrono::seconds length{30};
    static constexpr int seeds = 8;

    // Long reads, short urgent invoices and calls of other servers, as one of 27 servers gets them.
    static void addRoutes(shared_server_model &model, double reads, double invoices = 1)
    {
        model.addRoute(
            {"read", 2, 6 * reads, milliseconds(720), milliseconds(4000), milliseconds(8000)});
        model.addRoute(
            {"invoice", 0, 9 * invoices, milliseconds(130), milliseconds(400), milliseconds(1500)});
        model.addRoute(
            {"call", 0, 20, milliseconds(45), milliseconds(200), milliseconds(500), true});
    }

    static std::string workspaceName(int index)
    {
        return "workspace-" + std::to_string(index);
    }

    // The weight of a workspace falls with the square root of its place by size.
    static void addWorkspaces(shared_server_model &model, int count, double factorOfFirst = 1)
    {
        for (int index = 0; index < count; ++index) {
            const double weight = 1 / std::pow(1.0 + index, 0.5);
            model.addWorkspace(workspaceName(index), weight, index == 0 ? factorOfFirst : 1);
        }
    }

    struct outcome {
        double others = 0;
        double worst = 0;
        double hot = 0;
        double invoices = 0;
        double reads = 0;
        double calls = 0;
        double busy = 0;
    };

    template<typename Setup>
    static outcome play(bool hasWorkspaces, Setup setup, int workspaces = 0)
    {
        outcome mean;
        for (int seed = 1; seed <= seeds; ++seed) {
            shared_server_model model(slots, hasWorkspaces, static_cast<std::uint64_t>(seed));
            setup(model);
            model.play(length);
            served_count others;
            for (int index = 1; index < workspaces; ++index) {
                const served_count each = model.ofWorkspace(workspaceName(index));
                others.asked += each.asked;
                others.served += each.served;
                others.inTarget += each.inTarget;
            }
            mean.others += others.inTargetShare() / seeds;
            mean.worst += model.worstServedShare(workspaceName(0)) / seeds;
            mean.hot += model.ofWorkspace(workspaceName(0)).inTargetShare() / seeds;
            mean.invoices += model.ofRoute("invoice").inTargetShare() / seeds;
            mean.reads += model.ofRoute("read").inTargetShare() / seeds;
            mean.calls += model.ofRoute("call").inTargetShare() / seeds;
            mean.busy += model.busyShare(length, slots) / seeds;
        }
        return mean;
    }

    static void print(const char *name, const outcome &shown)
    {
        std::cout << std::fixed << std::setprecision(3) << "\n  " << name
                  << " others=" << shown.others << " worst=" << shown.worst << " hot=" << shown.hot
                  << " invoice=" << shown.invoices << " read=" << shown.reads
                  << " call=" << shown.calls << " busy=" << shown.busy;
    }

    // Guards against one workspace that takes the room of the others: here the largest one
    // sends eight times its usual load, more than the server can run.
    void protectsTheOtherWorkspacesFromOneOfManyTimesItsLoad()
    {
        constexpr int workspaces = 12;
        const auto setup = [](shared_server_model &model) {
            addRoutes(model, 1, 1);
            addWorkspaces(model, workspaces, 8);
        };
        const outcome before = play(false, setup, workspaces);
        const outcome after = play(true, setup, workspaces);
        print("before", before);
        print("after ", after);
        CPPUNIT_ASSERT(after.others >= before.others + 0.1);
        CPPUNIT_ASSERT(after.worst >= before.worst + 0.05);
        CPPUNIT_ASSERT(after.hot >= 0.25 * after.others);
    }

    // Guards against shares that are right only for a few workspaces.
    void sharesBetweenFiveThousandWorkspaces()
    {
        constexpr int workspaces = 5'000;
        const auto setup = [](shared_server_model &model) {
            addRoutes(model, 1, 1);
            for (int index = 0; index < workspaces; ++index) {
                model.addWorkspace(workspaceName(index), 1, index == 0 ? 4'000 : 1);
            }
        };
        const outcome before = play(false, setup, workspaces);
        const outcome after = play(true, setup, workspaces);
        print("before", before);
        print("after ", after);
        CPPUNIT_ASSERT(after.others >= before.others + 0.05);
    }

    // Guards against invoices that miss their target because long reads hold the slots.
    void keepsSlotsForShortUrgentRequestsDuringABurstOfLongOnes()
    {
        const auto setup = [](shared_server_model &model) {
            addRoutes(model, 2.5, 1.6);
            addWorkspaces(model, 12);
        };
        const outcome before = play(false, setup);
        const outcome after = play(true, setup);
        print("before", before);
        print("after ", after);
        CPPUNIT_ASSERT(after.invoices >= before.invoices);
        CPPUNIT_ASSERT(after.invoices >= 0.97);
        CPPUNIT_ASSERT(after.calls >= 0.97);
        CPPUNIT_ASSERT(after.reads >= before.reads - 0.05);
    }

    // Guards against slots that stay free for urgent requests that do not come.
    void wastesNoSlotsWithoutUrgentRequests()
    {
        const auto setup = [](shared_server_model &model) {
            model.addRoute(
                {"read", 2, 20, milliseconds(720), milliseconds(4000), milliseconds(8000)});
            addWorkspaces(model, 12);
        };
        const outcome before = play(false, setup);
        const outcome after = play(true, setup);
        print("before", before);
        print("after ", after);
        CPPUNIT_ASSERT(after.busy >= before.busy - 0.01);
    }

    // Guards against callers that get more than others since they ignore the stated delay.
    void rewardsNoCallersThatRepeatAtOnce()
    {
        constexpr int workspaces = 12;
        const auto setup = [](shared_server_model &model) {
            addRoutes(model, 1, 6);
            for (int index = 0; index < workspaces; ++index) {
                model.addWorkspace(workspaceName(index), 1);
            }
            model.repeatAtOnce(workspaceName(0), 20);
        };
        const outcome before = play(false, setup, workspaces);
        const outcome after = play(true, setup, workspaces);
        print("before", before);
        print("after ", after);
        CPPUNIT_ASSERT(after.hot <= after.others);
    }

    // Guards against a changed order where callers have no workspaces. The decisions of one request
    // each are those of admission_queue_test.
    void keepsTheOrderWithoutWorkspaces()
    {
        admission_queue queue(admission_queue_settings{});
        admission_queue_request urgent;
        urgent.rank = 0;
        urgent.target = core::monotonic_time{std::chrono::seconds(2)};
        urgent.deadline = core::monotonic_time{std::chrono::seconds(5)};
        const core::monotonic_time now{std::chrono::seconds(1)};
        urgent.number = 1;
        queue.arrive(urgent, now);
        urgent.number = 2;
        queue.arrive(urgent, now);
        admission_queue_request earlier = urgent;
        earlier.number = 3;
        earlier.rank = 2;
        earlier.target = urgent.target - milliseconds(500);
        queue.arrive(earlier, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, queue.release(1, now).at(0).number);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_server_test);

} // namespace jackdawweir::forwarding
