#include "daemon/source_client.h"

#include <algorithm>
#include <random>
#include <utility>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

// Longer than an election, so that a change of leader alone does not make an outcome unknown.
constexpr std::chrono::milliseconds requestTimeout{10'000};

// A source that has not replied by then is presumed unavailable, and the request is resent to the
// next one.
constexpr std::chrono::milliseconds resendInterval{500};

// After this time without a reply from a leader, a state request accepts the stale state of any
// source.
constexpr std::chrono::milliseconds staleAfter{2000};

} // namespace

source_client::source_client(std::vector<core::endpoint> sources, mesh_send send)
    : m_sources(std::move(sources))
    , m_send(std::move(send))
    , m_engine(std::random_device()())
    , m_requestIds(m_engine)
{
}

void source_client::submit(submit_request request, submit_handler done, core::monotonic_time now)
{
    pending_request added;
    request.requestId = m_requestIds.next();
    const std::uint64_t requestId = request.requestId;
    added.request = std::move(request);
    added.submitDone = std::move(done);
    add(requestId, std::move(added), now);
}

void source_client::requestState(state_handler done, core::monotonic_time now)
{
    pending_request added;
    const std::uint64_t requestId = m_requestIds.next();
    added.request = state_request{requestId, false};
    added.stateDone = std::move(done);
    add(requestId, std::move(added), now);
}

void source_client::add(std::uint64_t requestId, pending_request added, core::monotonic_time now)
{
    added.startedAt = now;
    added.deadline = now + requestTimeout;
    pending_request &pendingRequest = m_pending[requestId] = std::move(added);
    sendRequest(pendingRequest, now);
}

void source_client::sendRequest(pending_request &pendingRequest, core::monotonic_time now)
{
    pendingRequest.resendAt = now + resendInterval;
    if (auto *stateRequest = std::get_if<state_request>(&pendingRequest.request)) {
        stateRequest->allowsStale = now - pendingRequest.startedAt >= staleAfter;
    }
    const control_message message = std::visit(
        [](const auto &request) { return control_message(request); }, pendingRequest.request);
    m_send(
        m_sources[m_sourceIndex % m_sources.size()], wire::channel::Control, wire::encode(message));
}

void source_client::handle(const core::endpoint &,
                           const control_message &received,
                           core::monotonic_time now)
{
    if (const auto *reply = std::get_if<submit_reply>(&received)) {
        handleMessage(*reply);
    } else if (const auto *state = std::get_if<state_reply>(&received)) {
        handleMessage(*state);
    } else if (const auto *redirect = std::get_if<not_leader>(&received)) {
        handleMessage(*redirect, now);
    }
}

void source_client::handleMessage(const submit_reply &received)
{
    const auto found = m_pending.find(received.requestId);
    if (found == m_pending.end() || !found->second.submitDone) {
        return;
    }
    const submit_handler done = std::move(found->second.submitDone);
    m_pending.erase(found);
    done(received.result);
}

void source_client::handleMessage(const state_reply &received)
{
    const auto found = m_pending.find(received.requestId);
    if (found == m_pending.end() || !found->second.stateDone) {
        return;
    }
    const state_handler done = std::move(found->second.stateDone);
    m_pending.erase(found);
    done(received);
}

void source_client::handleMessage(const not_leader &received, core::monotonic_time now)
{
    const auto found = m_pending.find(received.requestId);
    if (found == m_pending.end()) {
        return;
    }
    found->second.lastReason = received.reason;
    const auto leader = std::find(m_sources.begin(), m_sources.end(), received.leader);
    if (leader == m_sources.end()) {
        ++m_sourceIndex;
        return;
    }
    m_sourceIndex = static_cast<std::size_t>(leader - m_sources.begin());
    sendRequest(found->second, now);
}

void source_client::fail(pending_request &pendingRequest)
{
    core::error failure{core::error_code::Unavailable, "ask-source", "", "no source answered"};
    if (!pendingRequest.lastReason.empty()) {
        failure.message = pendingRequest.lastReason;
    }
    if (pendingRequest.submitDone) {
        pendingRequest.submitDone(failure);
    } else {
        pendingRequest.stateDone(failure);
    }
}

void source_client::tick(core::monotonic_time now)
{
    std::vector<pending_request> expired;
    for (auto each = m_pending.begin(); each != m_pending.end();) {
        if (now >= each->second.deadline) {
            expired.push_back(std::move(each->second));
            each = m_pending.erase(each);
            continue;
        }
        if (now >= each->second.resendAt) {
            ++m_sourceIndex;
            sendRequest(each->second, now);
        }
        ++each;
    }
    for (pending_request &each : expired) {
        fail(each);
    }
}

} // namespace jackdawweir::daemon
