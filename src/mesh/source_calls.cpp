// The part of source that carries out commands and reads of operators, here or at the leader.

#include <algorithm>
#include <utility>

#include "jackdawweir/mesh/source.h"
#include "mesh/source_commands.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// Operators give up after a second without a response.
constexpr milliseconds callTimeout{850};

} // namespace

void source::submitCommand(const policy::command &submitted, command_handler handler)
{
    if (const auto *change = std::get_if<policy::replace_policy>(&submitted)) {
        // A change that was accepted stays accepted, whichever source receives it again.
        if (const std::optional<policy::command_result> first = m_state.findAccepted(*change)) {
            handler(first);
            return;
        }
    }
    if (m_log.leads()) {
        proposeCommand(encodeCommand(submitted),
                       withTimeout(m_pendingCommands, std::move(handler)));
        return;
    }
    forwardToLeader(m_pendingCommands, std::move(handler), [&](std::uint64_t number) {
        return fleet::command_request{number, encodeCommand(submitted)};
    });
}

// Returns a handler that completes the call unless the call has timed out before. The timeout is
// needed because a leader without a majority decides nothing and may not learn for seconds that it
// has lost the leadership.
template<typename Handler>
Handler source::withTimeout(pending_calls<Handler> &pending, Handler handler)
{
    const std::uint64_t number = m_context.callNumbers.next();
    const core::endpoint self = m_context.settings.mesh;
    pending.add(number, self, std::move(handler), m_context.now() + callTimeout);
    return [&pending, self, number](const auto &outcome) {
        if (const auto call = pending.take(number, self)) {
            call->handler(outcome);
        }
    };
}

// Forwards a call to the leader. The call is completed by the reply or by the timeout.
template<typename Handler, typename MakeCall>
void source::forwardToLeader(pending_calls<Handler> &pending,
                             Handler handler,
                             const MakeCall &makeCall)
{
    const core::endpoint leader = m_log.leader();
    if (leader.empty() || leader == m_context.settings.mesh) {
        handler(std::nullopt);
        return;
    }
    const std::uint64_t number = m_context.callNumbers.next();
    pending.add(number, leader, std::move(handler), m_context.now() + callTimeout);
    send(leader, makeCall(number));
}

void source::proposeCommand(std::string encoded, command_handler handler)
{
    if (!canAcceptCommands()) {
        handler(std::nullopt);
        return;
    }
    m_log.propose(
        std::move(encoded),
        [this, handler = std::move(handler)](const core::result<agreement::log_position> &decided) {
            if (const core::error *failure = core::errorIn(decided)) {
                m_context.recordError("order-undecided", *failure);
                handler(std::nullopt);
                return;
            }
            handler(m_lastResult);
        });
}

void source::readView(view_handler handler)
{
    if (m_log.leads()) {
        readConfirmedView(withTimeout(m_pendingReads, std::move(handler)));
        return;
    }
    forwardToLeader(m_pendingReads, std::move(handler), [](std::uint64_t number) {
        return fleet::view_request{number};
    });
}

void source::readConfirmedView(view_handler handler)
{
    m_log.confirmRead([this, handler = std::move(handler)](const core::status &confirmed) {
        if (const core::error *failure = core::errorIn(confirmed)) {
            m_context.recordError("read-unconfirmed", *failure);
            handler(std::nullopt);
            return;
        }
        handler(m_state.view());
    });
}

void source::handleMessage(const core::endpoint &peer, const fleet::command_request &request)
{
    proposeCommand(
        request.encodedCommand,
        [this, peer, number = request.number](const std::optional<policy::command_result> &result) {
            send(peer, fleet::command_reply{number, result});
        });
}

void source::handleMessage(const core::endpoint &peer, const fleet::command_reply &reply)
{
    if (const auto call = m_pendingCommands.take(reply.number, peer)) {
        call->handler(reply.result);
    } else {
        recordUnmatchedReply(peer, "command", reply.number);
    }
}

void source::handleMessage(const core::endpoint &peer, const fleet::view_request &request)
{
    readConfirmedView(
        [this, peer, number = request.number](const std::optional<policy::policy_view> &view) {
            const std::optional<std::uint64_t> revision
                = view ? std::optional(view->revision) : std::nullopt;
            send(peer, fleet::view_reply{number, revision});
        });
}

void source::handleMessage(const core::endpoint &peer, const fleet::view_reply &reply)
{
    const auto call = m_pendingReads.take(reply.number, peer);
    if (!call) {
        recordUnmatchedReply(peer, "read", reply.number);
        return;
    }
    if (!reply.revision) {
        call->handler(std::nullopt);
        return;
    }
    m_awaitedRevisions.add(
        *reply.revision, call->deadline, [this, handler = call->handler](bool isReached) {
            handler(isReached ? std::optional(m_state.view()) : std::nullopt);
        });
    m_awaitedRevisions.reached(m_state.view().revision);
}

// The call has timed out, or an earlier start of this process has sent it.
void source::recordUnmatchedReply(const core::endpoint &peer,
                                  const char *step,
                                  std::uint64_t number)
{
    m_context.record(m_context.event("reply-unmatched")
                         .peer(peer.value)
                         .step(step)
                         .field("number", std::to_string(number))
                         .build());
}

void source::expireCalls()
{
    const core::monotonic_time now = m_context.now();
    for (const auto &call : m_pendingCommands.takeExpired(now)) {
        call.handler(std::nullopt);
    }
    for (const auto &call : m_pendingReads.takeExpired(now)) {
        call.handler(std::nullopt);
    }
    m_awaitedRevisions.expire(now);
}

} // namespace jackdawweir::mesh
