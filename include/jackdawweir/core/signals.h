// Signals whose default action ends the process although the call that raised them also reports an
// error.
//
//     int main()
//     {
//         core::ignoreWriteSignals();
//         ...
//     }

#pragma once

namespace jackdawweir::core {

// Ignores SIGPIPE and SIGXFSZ for the whole process, so that a write to a closed connection or
// beyond the limit on the size of files only fails, as one to a full disk does.
void ignoreWriteSignals();

} // namespace jackdawweir::core
