// Limits the run time of this test program.

#include "process/child_process.h"

namespace jackdawweir::process_test {

namespace {

// Below the CTest timeout, so that the children are killed before CTest kills this program.
constexpr std::chrono::seconds runTimeLimit{290};

const bool isLimited = (endChildrenAfter(runTimeLimit), true);

} // namespace

} // namespace jackdawweir::process_test
