#include "jackdawweir/mesh/process_address.h"

#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::mesh {

class process_address_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_address_test);
    CPPUNIT_TEST(drawsAnotherLoopbackAddressEachTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a call to an earlier process that arrives at a later one.
    void drawsAnotherLoopbackAddressEachTime()
    {
        core::random_engine engine(1);
        std::set<core::endpoint> drawn;
        constexpr std::size_t draws = 100;
        for (std::size_t draw = 0; draw < draws; ++draw) {
            const core::endpoint address = drawProcessAddress(engine, 8301);
            const auto parsed = transport::parseEndpoint(address);
            CPPUNIT_ASSERT(core::errorIn(parsed) == nullptr);
            CPPUNIT_ASSERT(core::valueIn(parsed).address().is_loopback());
            CPPUNIT_ASSERT_EQUAL(8301, static_cast<int>(core::valueIn(parsed).port()));
            drawn.insert(address);
        }
        CPPUNIT_ASSERT_EQUAL(draws, drawn.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_address_test);

} // namespace jackdawweir::mesh
