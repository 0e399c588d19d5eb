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
    CPPUNIT_TEST(olderIncarnationNeitherRemovesNorRestoresServer);
    CPPUNIT_TEST(drainingServerCannotBecomeReadyAgain);
    CPPUNIT_TEST(expiredServerMayReturnButNoEarlierIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a delayed message of an earlier incarnation that removes the present one or
    // restores one that withdrew.
    void olderIncarnationNeitherRemovesNorRestoresServer()
    {
        test::checkProperty("the latest incarnation decides", [] {
            using step = std::pair<bool, std::uint64_t>;
            const auto steps = *rc::gen::container<std::vector<step>>(
                rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint64_t>(1, 6)));
            announcement_table tested;
            std::uint64_t present = 0;
            std::uint64_t withdrawn = 0;
            for (const auto &[isWithdrawal, incarnation] : steps) {
                if (!isWithdrawal) {
                    const core::status result = tested.announce(serverOf(incarnation), start);
                    const bool isLatest = incarnation >= present && incarnation > withdrawn;
                    RC_ASSERT(core::isOk(result) == isLatest);
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

    // Guards against new requests to a draining server after an announcement that was sent before
    // the drain and arrives after it.
    void drainingServerCannotBecomeReadyAgain()
    {
        announcement_table tested;
        tested.announce(serverOf(1, server_state::Draining), start);
        CPPUNIT_ASSERT(!core::isOk(tested.announce(serverOf(1, server_state::Ready), start)));
        CPPUNIT_ASSERT(tested.servers().at(0).state == server_state::Draining);
        CPPUNIT_ASSERT(tested.tick(start + leaseDuration));
        CPPUNIT_ASSERT(!core::isOk(tested.announce(serverOf(1), start + leaseDuration)));
    }

    // Guards against a server that stays excluded for good after a pause, and against an earlier
    // incarnation that replaces it.
    void expiredServerMayReturnButNoEarlierIncarnation()
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
