// Numbers for messages that are answered, unique among all starts of a process.
//
//     call_numbers numbers(engine);
//     request.number = numbers.next();
//
// Answers are sent to an address, and a process that starts again has the address of before: it
// also receives answers to messages of its earlier starts. Each start counts from a random number,
// so that these answers match none of its own messages.

#pragma once

#include <cstdint>

#include "jackdawweir/core/random.h"

namespace jackdawweir::core {

class call_numbers
{
public:
    explicit call_numbers(random_engine &engine)
        : m_last(draw(engine))
    {
    }

    // Never returns zero.
    std::uint64_t next()
    {
        return ++m_last;
    }

private:
    // The upper half of the range is left for counting, so that the numbers never wrap around.
    static std::uint64_t draw(random_engine &engine)
    {
        return engine() >> 1U;
    }

    std::uint64_t m_last;
};

} // namespace jackdawweir::core
