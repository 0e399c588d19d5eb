#include "jackdawweir/quota/host_census.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::quota {

using std::chrono::seconds;

class host_census_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_census_test);
    CPPUNIT_TEST(countsItselfBeforeAnyHostIsListed);
    CPPUNIT_TEST(remembersHostsThatAreNoLongerListed);
    CPPUNIT_TEST(forgetsHostsThatWereLeaving);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr core::monotonic_time start{seconds(100)};
    const core::host_name own{"b"};

    static listed_host listed(const std::string &name, bool isLeaving = false)
    {
        return listed_host{core::host_name{name}, isLeaving};
    }

    void countsItselfBeforeAnyHostIsListed()
    {
        host_census subject(seconds(60));
        CPPUNIT_ASSERT(subject.placeOf(own, start) == (node_place{1, 0}));
        subject.update({listed("a"), listed("b"), listed("c")}, start);
        CPPUNIT_ASSERT(subject.placeOf(own, start) == (node_place{3, 1}));
    }

    // Guards against both sides of a partition that take themselves for the whole mesh.
    void remembersHostsThatAreNoLongerListed()
    {
        host_census subject(seconds(60));
        subject.update({listed("a"), listed("b"), listed("c")}, start);
        subject.update({listed("b")}, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(3U, subject.placeOf(own, start + seconds(60)).nodes);
        CPPUNIT_ASSERT_EQUAL(1U, subject.placeOf(own, start + seconds(61)).nodes);
    }

    // Guards against quotas that shrink while hosts are replaced.
    void forgetsHostsThatWereLeaving()
    {
        host_census subject(seconds(60));
        subject.update({listed("a"), listed("b"), listed("c")}, start);
        subject.update({listed("a", true), listed("b"), listed("c")}, start);
        subject.update({listed("b"), listed("c"), listed("d")}, start);
        CPPUNIT_ASSERT_EQUAL(3U, subject.placeOf(own, start).nodes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_census_test);

} // namespace jackdawweir::quota
