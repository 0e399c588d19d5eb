#include "jackdawweir/core/call_numbers.h"

#include <set>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::core {

class call_numbers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_numbers_test);
    CPPUNIT_TEST(repeatsNoNumberOfAnotherStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer that matches a message of another start of the process.
    void repeatsNoNumberOfAnotherStart()
    {
        constexpr std::size_t starts = 100;
        constexpr std::size_t numbersPerStart = 1000;
        std::set<std::uint64_t> used;
        for (std::size_t start = 0; start < starts; ++start) {
            random_engine engine(start);
            call_numbers subject(engine);
            for (std::size_t count = 0; count < numbersPerStart; ++count) {
                used.insert(subject.next());
            }
        }
        CPPUNIT_ASSERT_EQUAL(starts * numbersPerStart, used.size());
        CPPUNIT_ASSERT(!used.contains(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_numbers_test);

} // namespace jackdawweir::core
