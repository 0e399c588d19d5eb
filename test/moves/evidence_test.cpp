#include "jackdawweir/moves/evidence.h"

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/moves/messages.h"
#include "jackdawweir/wire/codec.h"
#include "moves/support.h"
#include "support/property.h"

namespace jackdawweir::moves {

namespace {

std::uint64_t requestsIn(const std::vector<evidence_cell> &cells)
{
    std::uint64_t sum = 0;
    for (const evidence_cell &cell : cells) {
        sum += cell.counters.requests;
    }
    return sum;
}

} // namespace

class evidence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evidence_test);
    CPPUNIT_TEST(countsEachReportOnce);
    CPPUNIT_TEST(doesNotCountTwiceAfterChangeOfPeer);
    CPPUNIT_TEST(decodesWhatItEncodes);
    CPPUNIT_TEST(refusesUnknownLatencyBucket);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against evidence that is lost or counted twice when messages are lost or duplicated.
    void countsEachReportOnce()
    {
        jackdawweir::test::checkProperty(
            "each request is counted once", [](const std::vector<int> &outcomes) {
                evidence_uplink uplink(core::host_name{"node"}, 1, std::chrono::milliseconds(100));
                evidence_collector collector;
                double seconds = 0;
                std::uint64_t sent = 0;
                const auto deliver = [&](int outcome) {
                    seconds += 1;
                    const std::optional<evidence_report> report = uplink.poll(test::at(seconds));
                    const bool isLost = outcome % 4 == 0;
                    if (!report || isLost) {
                        return;
                    }
                    const evidence_ack ack = collector.accept(*report);
                    const bool isDuplicated = outcome % 4 == 1;
                    if (isDuplicated) {
                        collector.accept(*report);
                    }
                    const bool isAckLost = outcome % 4 == 2;
                    if (!isAckLost) {
                        uplink.handle(ack);
                    }
                };
                for (const int outcome : outcomes) {
                    uplink.add({test::cellOf(test::newVersion, "r", 3, 1)});
                    sent += 3;
                    deliver(std::abs(outcome % 4));
                }
                deliver(3);
                deliver(3);
                RC_ASSERT(requestsIn(collector.takeInterval()) == sent);
            });
    }

    // Guards against the rollback of a good version because two relays count the same fault.
    void doesNotCountTwiceAfterChangeOfPeer()
    {
        evidence_uplink uplink(core::host_name{"node"}, 1, std::chrono::milliseconds(100));
        evidence_collector first;
        evidence_collector second;
        uplink.add({test::cellOf(test::newVersion, "r", 3, 1)});
        first.accept(*uplink.poll(test::at(1)));
        uplink.changePeer();
        uplink.add({test::cellOf(test::newVersion, "r", 2, 0)});
        second.accept(*uplink.poll(test::at(2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             requestsIn(first.takeInterval()) + requestsIn(second.takeInterval()));
    }

    // Guards against a message that the receiver decodes to other values.
    void decodesWhatItEncodes()
    {
        const evidence_report report{
            core::host_name{"node"}, 3, 9, {test::cellOf(test::newVersion, "r", 5, 2)}};
        const auto decoded = wire::decode<message>(wire::encode(message{report}), core::endpoint{});
        CPPUNIT_ASSERT(core::isOk(decoded));
        CPPUNIT_ASSERT(std::get<evidence_report>(core::valueIn(decoded)) == report);
    }

    // Guards against a corrupted message that causes a write beyond the histogram.
    void refusesUnknownLatencyBucket()
    {
        const std::map<std::uint8_t, std::uint64_t> counts{{200, 1}};
        const auto decoded = wire::decodeValue<latency_histogram>(wire::encodeValue(counts));
        CPPUNIT_ASSERT(core::errorIn(decoded) != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evidence_test);

} // namespace jackdawweir::moves
