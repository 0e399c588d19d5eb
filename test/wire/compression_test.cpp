#include "jackdawweir/wire/compression.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::wire {

class compression_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(compression_test);
    CPPUNIT_TEST(givesBackWhatItTook);
    CPPUNIT_TEST(refusesDamagedBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void givesBackWhatItTook()
    {
        test::checkProperty("unpacked bytes equal the packed ones", [](const std::string &bytes) {
            RC_ASSERT(core::valueIn(decompress(compress(bytes))) == bytes);
        });
        const std::string repeated(200'000, 'r');
        CPPUNIT_ASSERT(compress(repeated).size() < repeated.size() / 50);
        CPPUNIT_ASSERT_EQUAL(repeated, core::valueIn(decompress(compress(repeated))));
    }

    // Guards against a damaged or hostile message that ends the process or fills its memory.
    void refusesDamagedBytes()
    {
        const std::string packed = compress("some bytes that are packed");
        CPPUNIT_ASSERT(!core::isOk(decompress("")));
        CPPUNIT_ASSERT(!core::isOk(decompress(packed.substr(0, packed.size() - 3))));
        CPPUNIT_ASSERT(!core::isOk(decompress("\xff\xff\xff\xff" + packed.substr(4))));
        std::string flipped = packed;
        flipped[flipped.size() / 2] ^= 0x55;
        CPPUNIT_ASSERT(!core::isOk(decompress(flipped)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(compression_test);

} // namespace jackdawweir::wire
