// Random schedules of faults for property tests: which fault, where, and how long until the next.

#pragma once

#include <ostream>
#include <vector>

#include <rapidcheck.h>

namespace jackdawweir::test {

struct fault_step {
    unsigned kind = 0;
    unsigned target = 0;
    unsigned pauseMs = 0;
};

inline std::ostream &operator<<(std::ostream &out, const fault_step &step)
{
    return out << "{" << step.kind << ", " << step.target << ", " << step.pauseMs << "}";
}

// Returns a generator of schedules with kinds below `kinds`.
inline rc::Gen<std::vector<fault_step>> genSchedule(unsigned kinds)
{
    constexpr unsigned targets = 60;
    constexpr unsigned mostPauseMs = 900;
    return rc::gen::container<std::vector<fault_step>>(rc::gen::build<fault_step>(
        rc::gen::set(&fault_step::kind, rc::gen::inRange(0U, kinds)),
        rc::gen::set(&fault_step::target, rc::gen::inRange(0U, targets)),
        rc::gen::set(&fault_step::pauseMs, rc::gen::inRange(0U, mostPauseMs))));
}

} // namespace jackdawweir::test
