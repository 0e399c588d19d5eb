#include "daemon/source_client.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

// Longer than an election, so that a change of leader alone leaves no outcome unknown.
constexpr std::chrono::milliseconds requestTimeout{10'000};

// A source that has not replied by then is taken as lost and the next one is asked.
constexpr std::chrono::milliseconds resendInterval{500};

// Without a leader for this long, a reader is served the state of any source.
constexpr std::chrono::milliseconds staleAfter{2000};

} // namespace

source_client::source_client(std::vector<core::endpoint> sources, mesh_send send)
    : m_sources(std::move(sources))
    , m_send(std::move(send))
{
}

void source_client::submit(submit_request request, submit_handler done, core::monotonic_time now)
{
    pending added;
    request.number = ++m_number;
    added.request = std::move(request);
    added.submitDone = std::move(done);
    add(std::move(added), now);
}

void source_client::requestState(state_handler done, core::monotonic_time now)
{
    pending added;
    added.request = state_request{++m_number, false};
    added.stateDone = std::move(done);
    add(std::move(added), now);
}

void source_client::add(pending added, core::monotonic_time now)
{
    added.startedAt = now;
    added.deadline = now + requestTimeout;
    pending &waiting = m_pending[m_number] = std::move(added);
    sendRequest(waiting, now);
}

void source_client::sendRequest(pending &waiting, core::monotonic_time now)
{
    waiting.resendAt = now + resendInterval;
    if (auto *reader = std::get_if<state_request>(&waiting.request)) {
        reader->allowsStale = now - waiting.startedAt >= staleAfter;
    }
    const control_message message
        = std::visit([](const auto &request) { return control_message(request); }, waiting.request);
    m_send(m_sources[m_next % m_sources.size()], wire::channel::Control, wire::encode(message));
}

void source_client::handle(const core::endpoint &,
                           const control_message &received,
                           core::monotonic_time now)
{
    if (const auto *reply = std::get_if<submit_reply>(&received)) {
        take(*reply);
    } else if (const auto *state = std::get_if<state_reply>(&received)) {
        take(*state);
    } else if (const auto *elsewhere = std::get_if<not_leader>(&received)) {
        take(*elsewhere, now);
    }
}

void source_client::take(const submit_reply &received)
{
    const auto found = m_pending.find(received.number);
    if (found == m_pending.end() || !found->second.submitDone) {
        return;
    }
    const submit_handler done = std::move(found->second.submitDone);
    m_pending.erase(found);
    done(received.result);
}

void source_client::take(const state_reply &received)
{
    const auto found = m_pending.find(received.number);
    if (found == m_pending.end() || !found->second.stateDone) {
        return;
    }
    const state_handler done = std::move(found->second.stateDone);
    m_pending.erase(found);
    done(received);
}

void source_client::take(const not_leader &received, core::monotonic_time now)
{
    const auto found = m_pending.find(received.number);
    if (found == m_pending.end()) {
        return;
    }
    found->second.lastReason = received.reason;
    const auto leader = std::find(m_sources.begin(), m_sources.end(), received.leader);
    if (leader == m_sources.end()) {
        ++m_next;
        return;
    }
    m_next = static_cast<std::size_t>(leader - m_sources.begin());
    sendRequest(found->second, now);
}

void source_client::fail(pending &waiting)
{
    core::error failure{core::error_code::Unavailable, "ask-source", "", "no source answered"};
    if (!waiting.lastReason.empty()) {
        failure.message = waiting.lastReason;
    }
    if (waiting.submitDone) {
        waiting.submitDone(failure);
    } else {
        waiting.stateDone(failure);
    }
}

void source_client::tick(core::monotonic_time now)
{
    std::vector<pending> expired;
    for (auto each = m_pending.begin(); each != m_pending.end();) {
        if (now >= each->second.deadline) {
            expired.push_back(std::move(each->second));
            each = m_pending.erase(each);
            continue;
        }
        if (now >= each->second.resendAt) {
            ++m_next;
            sendRequest(each->second, now);
        }
        ++each;
    }
    for (pending &each : expired) {
        fail(each);
    }
}

} // namespace jackdawweir::daemon
