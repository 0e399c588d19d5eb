#include "jackdawweir/wire/frame.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::wire {

class frame_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(splitsFramesAtAnyByteBoundary);
    CPPUNIT_TEST(rejectsOversizedLength);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against frames that are lost or merged when TCP delivers them in pieces.
    void splitsFramesAtAnyByteBoundary()
    {
        test::checkProperty(
            "frames survive any split", [](const std::vector<std::string> &payloads) {
                const core::hybrid_time sentAt{1'700'000'000'000'000, 7};
                std::string stream;
                for (const std::string &payload : payloads) {
                    stream += encodeFrame(channel::Membership, sentAt, payload);
                }
                frame_splitter splitter;
                std::vector<std::string> received;
                while (!stream.empty()) {
                    const auto size = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
                    splitter.append(stream.substr(0, size));
                    stream.erase(0, size);
                    while (const std::optional<frame> next = splitter.next()) {
                        received.push_back(next->payload);
                    }
                }
                RC_ASSERT(received == payloads);
            });
    }

    // Guards against unbounded memory use when a peer sends an invalid length.
    void rejectsOversizedLength()
    {
        frame_splitter splitter;
        splitter.append(std::string("\xff\xff\xff\xff\x01", 5)
                        + std::string(frameHeaderBytes - 5, '\0'));
        CPPUNIT_ASSERT(!splitter.next().has_value());
        CPPUNIT_ASSERT(splitter.hasProtocolError());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace jackdawweir::wire
