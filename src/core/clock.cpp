#include "jackdawweir/core/clock.h"

#include <ctime>

namespace jackdawweir::core {

namespace {

// Both times of a manual clock start well after their epochs, so that a test may subtract from
// them.
constexpr std::chrono::hours manualClockStart{1000};

} // namespace

// Includes the time for which the host was suspended, which std::chrono::steady_clock leaves out.
// Otherwise a leader would treat its expired lease as valid after its host resumes.
monotonic_time system_clock_source::monotonicNow() const
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return monotonic_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

wall_time system_clock_source::wallNow() const
{
    return std::chrono::system_clock::now();
}

monotonic_time manual_clock::monotonicNow() const
{
    return monotonic_time(manualClockStart + m_elapsed);
}

wall_time manual_clock::wallNow() const
{
    return wall_time(std::chrono::duration_cast<wall_time::duration>(manualClockStart + m_elapsed));
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    m_elapsed += step;
}

} // namespace jackdawweir::core
