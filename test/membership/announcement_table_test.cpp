#include "jackdawweir/membership/announcement_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/membership/settings.h"
#include "support/property.h"

namespace jackdawweir::membership {

using namespace std::chrono_literals;

namespace {

const core::monotonic_time start{1h};
const core::endpoint address{"server"};

backend_server serverOf(std::uint64_t incarnation, server_state state = server_state::Ready)
{
    backend_server server;
    server.address = address;
    server.service.value = "quotes";
    server.incarnation = incarnation;
    server.state = state;
    return server;
}

} // namespace

class announcement_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(announcement_table_test);
    CPPUNIT_TEST(olderStartNeitherRemovesNorRestores);
    CPPUNIT_TEST(drainIsNotTakenBack);
    CPPUNIT_TEST(silentServerMayReturnButNoEarlierStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late message of an earlier start that removes the present one, or brings
    // back one that withdrew.
    void olderStartNeitherRemovesNorRestores()
    {
        test::checkProperty("the latest start decides", [] {
            using step = std::pair<bool, std::uint64_t>;
            const auto steps = *rc::gen::container<std::vector<step>>(
                rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint64_t>(1, 6)));
            announcement_table tested;
            std::uint64_t present = 0;
            std::uint64_t withdrawn = 0;
            for (const auto &[isWithdrawal, incarnation] : steps) {
                if (!isWithdrawal) {
                    const core::status taken = tested.announce(serverOf(incarnation), start);
                    const bool isLatest = incarnation >= present && incarnation > withdrawn;
                    RC_ASSERT(core::isOk(taken) == isLatest);
                    present = isLatest ? incarnation : present;
                } else {
                    tested.withdraw(address, incarnation, start);
                    if (incarnation >= present) {
                        withdrawn = std::max(withdrawn, incarnation);
                        present = 0;
                    }
                }
                std::vector<std::uint64_t> held;
                for (const backend_server &server : tested.servers()) {
                    held.push_back(server.incarnation);
                }
                const std::vector<std::uint64_t> expected(present != 0 ? 1 : 0, present);
                RC_ASSERT(held == expected);
            }
        });
    }

    // Guards against new work for a draining server after an announcement that crossed the drain.
    void drainIsNotTakenBack()
    {
        announcement_table tested;
        tested.announce(serverOf(1, server_state::Draining), start);
        CPPUNIT_ASSERT(!core::isOk(tested.announce(serverOf(1, server_state::Ready), start)));
        CPPUNIT_ASSERT(tested.servers().at(0).state == server_state::Draining);
        CPPUNIT_ASSERT(tested.tick(start + leaseDuration));
        CPPUNIT_ASSERT(!core::isOk(tested.announce(serverOf(1), start + leaseDuration)));
    }

    // Guards against a paused server that stays out for good, and against an earlier start that
    // takes its place.
    void silentServerMayReturnButNoEarlierStart()
    {
        announcement_table tested;
        tested.announce(serverOf(5), start);
        CPPUNIT_ASSERT(!tested.tick(start + leaseDuration - 1ms));
        CPPUNIT_ASSERT(tested.tick(start + leaseDuration));
        CPPUNIT_ASSERT(tested.servers().empty());
        CPPUNIT_ASSERT(!core::isOk(tested.announce(serverOf(4), start + leaseDuration)));
        CPPUNIT_ASSERT(core::isOk(tested.announce(serverOf(5), start + leaseDuration)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announcement_table_test);

} // namespace jackdawweir::membership
