#include "jackdawweir/core/signals.h"

#include <csignal>

namespace jackdawweir::core {

void ignoreWriteSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

} // namespace jackdawweir::core
