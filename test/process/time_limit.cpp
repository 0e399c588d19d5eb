// Bounds the whole run of this test program.

#include "process/child_process.h"

namespace jackdawweir::process_test {

namespace {

// Below the timeout of CTest, so that the children are ended first.
constexpr std::chrono::seconds runBound{290};

const bool isLimited = (endChildrenAfter(runBound), true);

} // namespace

} // namespace jackdawweir::process_test
