#include "source/move_rules.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace jackdawweir::source {

namespace {

using document::move_phase;
using document::move_request;
using document::move_state;

const document::service *findService(const document::document &searched,
                                     const core::service_name &name)
{
    const auto found = std::find_if(searched.services.begin(),
                                    searched.services.end(),
                                    [&](const auto &each) { return each.name == name; });
    return found == searched.services.end() ? nullptr : &*found;
}

bool hasSameVersions(const document::document &current,
                     const document::document &submitted,
                     const core::service_name &name)
{
    const document::service *before = findService(current, name);
    const document::service *after = findService(submitted, name);
    return before != nullptr && after != nullptr && before->versions == after->versions;
}

const move_state *findMove(const std::vector<move_state> &currentMoves,
                           const core::service_name &name)
{
    const auto found
        = std::find_if(currentMoves.begin(), currentMoves.end(), [&name](const move_state &each) {
              return each.request.service == name;
          });
    return found == currentMoves.end() ? nullptr : &*found;
}

bool hasRequest(const document::document &searched, const move_request &request)
{
    return std::find(searched.moves.begin(), searched.moves.end(), request) != searched.moves.end();
}

core::error moveRefused(const move_request &request, const char *reason)
{
    return core::error{core::error_code::InvalidArgument,
                       "submit-document",
                       "",
                       absl::StrCat("move of '", request.service.value, "' ", reason)};
}

move_state startedMove(const move_request &request, std::uint64_t id, core::wall_time now)
{
    move_state started;
    started.id = id;
    started.request = request;
    started.acceptedAt = now;
    started.reason = "started";
    return started;
}

} // namespace

core::result<std::vector<move_state>>
movesAfterSubmission(const document::document &current,
                     const document::document &submitted,
                     const std::vector<move_state> &currentMoves,
                     std::uint64_t lastId,
                     core::wall_time now)
{
    std::vector<move_state> moves;
    for (const move_request &request : submitted.moves) {
        if (findMove(moves, request.service) != nullptr) {
            return moveRefused(request, "is listed twice");
        }
        const move_state *before = findMove(currentMoves, request.service);
        if (before != nullptr && before->request == request) {
            if (hasSameVersions(current, submitted, request.service)) {
                moves.push_back(*before);
            }
            continue;
        }
        if (before != nullptr && before->phase == move_phase::Running) {
            return moveRefused(request, "is refused while another one runs");
        }
        // The move of a request that the current document contains has already ended. It starts
        // again only if the request changes.
        if (hasRequest(current, request)) {
            continue;
        }
        if (request.doneBy <= now) {
            return moveRefused(request, "has a completion time in the past");
        }
        moves.push_back(startedMove(request, ++lastId, now));
    }
    return moves;
}

bool isDecisionValid(const document::move_decision &decision, const move_state &move)
{
    const bool isExpected = move.phase == decision.expectedPhase
        && move.newShareBasisPoints == decision.expectedShareBasisPoints;
    const bool isPossible
        = (move.phase == move_phase::Running
           && (decision.phase == move_phase::Running || decision.phase == move_phase::Done
               || decision.phase == move_phase::Reverted))
        || (move.phase == move_phase::Done && decision.phase == move_phase::RevertedAfterDone);
    return isExpected && isPossible
        && decision.newShareBasisPoints <= document::wholeShareBasisPoints;
}

} // namespace jackdawweir::source
