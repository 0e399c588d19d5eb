#include "jackdawweir/document/move_state.h"

namespace jackdawweir::document {

const char *toString(move_phase phase)
{
    switch (phase) {
    case move_phase::Running:
        return "running";
    case move_phase::Done:
        return "done";
    case move_phase::Reverted:
        return "reverted";
    case move_phase::RevertedAfterDone:
        return "reverted-after-done";
    case move_phase::Superseded:
        return "superseded";
    }
    return "unknown";
}

} // namespace jackdawweir::document
