// Random schedules of faults for property tests: the kind of each fault, its target and the pause
// until the next one.

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

// Returns a generator of schedules whose fault kinds are below `kinds`.
inline rc::Gen<std::vector<fault_step>> genSchedule(unsigned kinds)
{
    constexpr unsigned targets = 60;
    constexpr unsigned maxPauseMs = 900;
    return rc::gen::container<std::vector<fault_step>>(rc::gen::build<fault_step>(
        rc::gen::set(&fault_step::kind, rc::gen::inRange(0U, kinds)),
        rc::gen::set(&fault_step::target, rc::gen::inRange(0U, targets)),
        rc::gen::set(&fault_step::pauseMs, rc::gen::inRange(0U, maxPauseMs))));
}

} // namespace jackdawweir::test
