#include "jackdawweir/wire/compression.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::wire {

class compression_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(compression_test);
    CPPUNIT_TEST(decompressesToOriginalBytes);
    CPPUNIT_TEST(rejectsDamagedBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void decompressesToOriginalBytes()
    {
        test::checkProperty("decompressed bytes equal the original ones",
                            [](const std::string &bytes) {
                                RC_ASSERT(core::valueIn(decompress(compress(bytes))) == bytes);
                            });
        const std::string repeated(200'000, 'r');
        CPPUNIT_ASSERT(compress(repeated).size() < repeated.size() / 50);
        CPPUNIT_ASSERT_EQUAL(repeated, core::valueIn(decompress(compress(repeated))));
    }

    // Guards against a corrupt or malicious message that crashes the process or exhausts its
    // memory.
    void rejectsDamagedBytes()
    {
        const std::string compressed = compress("some bytes that are packed");
        CPPUNIT_ASSERT(!core::isOk(decompress("")));
        CPPUNIT_ASSERT(!core::isOk(decompress(compressed.substr(0, compressed.size() - 3))));
        CPPUNIT_ASSERT(!core::isOk(decompress("\xff\xff\xff\xff" + compressed.substr(4))));
        std::string corrupted = compressed;
        corrupted[corrupted.size() / 2] ^= 0x55;
        CPPUNIT_ASSERT(!core::isOk(decompress(corrupted)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(compression_test);

} // namespace jackdawweir::wire
