#include "jackdawweir/request/admission.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::request {

namespace {

using document::request_urgency;
using std::chrono::milliseconds;

constexpr core::monotonic_time start{std::chrono::hours(1)};

struct caller_counts {
    int sent = 0;
    int admitted = 0;
    int failed = 0;
    std::vector<double> waits;

    double failedPart() const
    {
        return 1.0 - static_cast<double>(admitted - failed) / std::max(sent, 1);
    }

    double p95Milliseconds() const
    {
        std::vector<double> sorted = waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0.0 : sorted[sorted.size() * 95 / 100];
    }
};

// Simulates a service with 10 slots and 50 ms for each request, that is 200 requests per second,
// which refuses requests while 20 are waiting. Ten callers send 10 requests per second each, and
// one floods the service with 2,000.
std::map<std::string, caller_counts> runFlood(admission &controller)
{
    core::random_engine engine(20261204);
    std::map<std::string, caller_counts> counts;
    std::vector<core::monotonic_time> slots(10, start);
    constexpr int seconds = 20;
    for (int tenth = 0; tenth < seconds * 10'000; ++tenth) {
        const core::monotonic_time now = start + std::chrono::microseconds(tenth * 100);
        std::string caller;
        if (tenth % 5 == 0) {
            caller = "flood";
        } else if (tenth % 100 == 3) {
            caller = absl::StrCat("caller-", tenth / 100 % 10);
        } else {
            continue;
        }
        caller_counts &mine = counts[caller];
        ++mine.sent;
        if (controller.decide(request_urgency::Normal, caller, now, engine)
            != admission_verdict::Admitted) {
            continue;
        }
        ++mine.admitted;
        const auto slot = std::min_element(slots.begin(), slots.end());
        const core::monotonic_time begin = std::max(*slot, now);
        // Ten slots of 50 ms each process 20 waiting requests in 100 ms.
        const bool refused = begin - now > milliseconds(100);
        controller.report(refused, request_urgency::Normal, now);
        if (refused) {
            ++mine.failed;
            continue;
        }
        *slot = begin + milliseconds(50);
        mine.waits.push_back(std::chrono::duration<double, std::milli>(*slot - now).count());
    }
    return counts;
}

} // namespace

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(admitsAllWithoutOverload);
    CPPUNIT_TEST(shedsLeastUrgentFirst);
    CPPUNIT_TEST(overloadOfLowUrgencyShedsNoHigherOne);
    CPPUNIT_TEST(endsSheddingAfterOverload);
    CPPUNIT_TEST(refusesFloodingCallerOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void admitsAllWithoutOverload()
    {
        admission controller{admission_settings{}};
        core::random_engine engine(1);
        for (int count = 0; count < 10'000; ++count) {
            const core::monotonic_time now = start + milliseconds(count);
            CPPUNIT_ASSERT(controller.decide(request_urgency::Low, "caller", now, engine)
                           == admission_verdict::Admitted);
            controller.report(false, request_urgency::Low, now);
        }
    }

    // Guards against shedding an urgent request while less urgent ones are admitted.
    void shedsLeastUrgentFirst()
    {
        test::checkProperty(
            "a more urgent request is shed only where all less urgent ones are",
            [](std::uint64_t seed) {
                admission_settings settings;
                settings.maxCallerFactor = 1.0;
                admission controller{settings};
                core::random_engine engine(seed);
                const double overloadFraction = static_cast<double>(seed % 100) / 100.0;
                for (int step = 0; step < 3000; ++step) {
                    const core::monotonic_time now = start + milliseconds(step);
                    std::array<bool, 3> shed{};
                    const double pressure = controller.pressure();
                    for (std::size_t urgency = 0; urgency < 3; ++urgency) {
                        shed[urgency]
                            = controller.decide(request_urgency(urgency), "caller", now, engine)
                            == admission_verdict::ShedForUrgency;
                    }
                    // The first decision of a step may begin a new window and change the pressure.
                    const bool isSteady = pressure == controller.pressure();
                    RC_ASSERT(!isSteady || !shed[1] || shed[0]);
                    RC_ASSERT(!isSteady || !shed[2] || (shed[0] && shed[1]));
                    const double drawn = std::uniform_real_distribution<double>(0, 1)(engine);
                    controller.report(drawn < overloadFraction, request_urgency(step % 3), now);
                }
            });
    }

    // Guards against shedding requests of higher urgency, such as bookings, while only background
    // lookups find no free slot.
    void overloadOfLowUrgencyShedsNoHigherOne()
    {
        admission controller{admission_settings{}};
        for (int count = 0; count < 5000; ++count) {
            controller.report(true, request_urgency::Low, start + milliseconds(count));
        }
        CPPUNIT_ASSERT_EQUAL(1.0, controller.pressure());
    }

    void endsSheddingAfterOverload()
    {
        admission controller{admission_settings{}};
        core::random_engine engine(1);
        core::monotonic_time now = start;
        for (int count = 0; count < 1000; ++count, now += milliseconds(1)) {
            controller.report(true, request_urgency::High, now);
        }
        CPPUNIT_ASSERT(controller.pressure() > 2.0);
        for (int count = 0; count < 20'000; ++count, now += milliseconds(1)) {
            controller.decide(request_urgency::Low, "caller", now, engine);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, controller.pressure());
    }

    // Guards against a flood of requests from one caller that makes the requests of the other
    // callers fail or slow down.
    void refusesFloodingCallerOnly()
    {
        admission controller{admission_settings{}};
        std::map<std::string, caller_counts> counts = runFlood(controller);
        caller_counts others;
        for (const auto &[name, each] : counts) {
            if (name != "flood") {
                others.sent += each.sent;
                others.admitted += each.admitted;
                others.failed += each.failed;
                others.waits.insert(others.waits.end(), each.waits.begin(), each.waits.end());
            }
        }
        const std::string figures = absl::StrCat("flood failed ",
                                                 counts["flood"].failedPart(),
                                                 ", others failed ",
                                                 others.failedPart(),
                                                 ", others p95 ms ",
                                                 others.p95Milliseconds());
        CPPUNIT_ASSERT_MESSAGE(figures, counts["flood"].failedPart() > 0.9);
        CPPUNIT_ASSERT_MESSAGE(figures, others.failedPart() < 0.05);
        CPPUNIT_ASSERT_MESSAGE(figures, others.p95Milliseconds() < 150.0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace jackdawweir::request
