#include "daemon/source_host.h"

#include <utility>
#include <variant>

#include "daemon/mesh_dispatch.h"
#include "jackdawweir/document/parse.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

constexpr std::chrono::milliseconds loopTick{20};

} // namespace

source_host::source_host(process_context &context)
    : m_context(context)
    , m_transport(m_loop.context(),
                  context.settings.source->mesh,
                  context.clock,
                  context.hybridClock,
                  [this](const transport::received_message &received) { dispatch(received); })
    , m_publisher(distribution::publisher_role::Source, distribution::admission_settings{})
    , m_log(
          context,
          m_loop,
          [this](const auto &peer, auto target, const auto &payload) {
              send(peer, target, payload);
          },
          log_observer{
              [this] { publishState(); },
              [this](bool leads) {
                  m_moves.setLeadership(leads, {m_log.state().version(), m_log.state().moves()});
              }})
    , m_ledger(
          context,
          m_loop,
          [this](const auto &peer, auto target, const auto &payload) {
              send(peer, target, payload);
          },
          [this](std::uint64_t nonce) {
              const core::endpoint leader
                  = m_log.leads() ? m_context.settings.source->mesh : m_log.leader();
              if (!leader.empty()) {
                  reply(leader, ledger_admission_request{m_context.settings.source->mesh, nonce});
              }
          })
    , m_moves(
          context,
          [this](const auto &peer, auto target, const auto &payload) {
              send(peer, target, payload);
          },
          [this](const document::move_decision &decision) {
              m_log.propose(source::decide_command{decision, m_context.clock.wallNow()},
                            [](const core::result<source::apply_result> &) {
                                // The controller repeats a decision until it sees the result, so
                                // a failure needs no handling here.
                            });
          })
{
}

source_host::~source_host()
{
    m_loop.stop();
}

core::status source_host::start()
{
    core::status started = m_transport.start();
    if (core::errorIn(started) == nullptr) {
        started = m_log.open();
    }
    if (core::errorIn(started) == nullptr) {
        started = m_ledger.open();
    }
    if (core::errorIn(started) != nullptr) {
        return started;
    }
    if (m_context.settings.source->bootstrap) {
        core::status initialised = m_log.init();
        const core::error *failure = core::errorIn(initialised);
        if (failure != nullptr && failure->code != core::error_code::Conflict) {
            return initialised;
        }
    }
    m_loop.every(loopTick, [this] { tick(); });
    m_loop.every(moves::evidenceInterval, [this] { m_moves.tick(); });
    m_loop.start();
    return core::okStatus();
}

void source_host::shutDown()
{
    m_loop.call([this] { m_transport.stop(); });
    m_loop.stop();
}

source_status source_host::status()
{
    return m_loop.call([this] {
        return source_status{m_log.leads(), m_log.leader(), m_log.state().version()};
    });
}

core::status source_host::init()
{
    return m_loop.call([this] { return m_log.init(); });
}

void source_host::tick()
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    m_log.tick(now);
    m_ledger.tick();
    performEffects(m_publisher.tick(now));
    exportMeshBytes(m_transport, m_context.metrics, m_exportedBytes);
}

void source_host::send(const core::endpoint &peer, wire::channel target, const std::string &payload)
{
    if (peer != m_context.settings.source->mesh) {
        m_transport.send(peer, target, payload);
        return;
    }
    m_loop.post([this, received = transport::received_message{peer, target, payload}] {
        dispatch(received);
    });
}

void source_host::dispatch(const transport::received_message &received)
{
    const core::monotonic_time now = m_context.clock.monotonicNow();
    switch (received.target) {
    case wire::channel::Agreement:
        decodeAndHandle<agreement::message>(
            m_context, received, [&](const auto &message) { m_log.handle(message, now); });
        break;
    case wire::channel::Distribution:
        decodeAndHandle<distribution::message>(m_context, received, [&](const auto &message) {
            performEffects(m_publisher.handle(received.from, message, now));
        });
        break;
    case wire::channel::Membership:
        decodeAndHandle<membership::message>(m_context, received, [&](const auto &message) {
            m_moves.handleMembership(received.from, message);
        });
        break;
    case wire::channel::Moves:
        decodeAndHandle<moves::message>(m_context, received, [&](const auto &message) {
            if (!m_moves.handle(received.from, message)) {
                reply(received.from, notLeaderReply(0));
            }
        });
        break;
    case wire::channel::Ledger:
        decodeAndHandle<ledger::ledger_message>(m_context, received, [&](const auto &message) {
            m_ledger.handle(received.from, message);
        });
        break;
    case wire::channel::Control:
        decodeAndHandle<control_message>(m_context, received, [&](const auto &message) {
            std::visit([&](const auto &body) { handleMessage(received.from, body); }, message);
        });
        break;
    case wire::channel::Fleet:
    case wire::channel::Forwarding:
        break;
    }
}

void source_host::reply(const core::endpoint &peer, const control_message &answer)
{
    send(peer, wire::channel::Control, wire::encode(answer));
}

not_leader source_host::notLeaderReply(std::uint64_t requestId) const
{
    return {requestId, m_log.leader(), "this source holds no leader lease"};
}

core::result<source::submit_command> source_host::commandOf(const submit_request &request) const
{
    core::result<document::document> parsed = document::parseDocument(request.yaml, "document");
    if (const core::error *failure = core::errorIn(parsed)) {
        return *failure;
    }
    const core::wall_time now = m_context.clock.wallNow();
    const core::status completionTimes = document::checkCompletionTimes(
        core::valueIn(parsed), m_log.state().currentDocument(), now);
    if (const core::error *failure = core::errorIn(completionTimes)) {
        return *failure;
    }
    source::submit_command command;
    command.submission = request.submission;
    if (request.hasExpected) {
        command.expected = request.expected;
    }
    command.submitted = core::valueIn(std::move(parsed));
    command.original = request.yaml;
    command.at = now;
    return command;
}

void source_host::handleMessage(const core::endpoint &peer, const submit_request &request)
{
    if (!m_log.leads()) {
        reply(peer, notLeaderReply(request.requestId));
        return;
    }
    if (const auto first = m_log.state().findSubmission(request.submission)) {
        reply(peer, submit_reply{request.requestId, *first});
        return;
    }
    core::result<source::submit_command> command = commandOf(request);
    if (const core::error *failure = core::errorIn(command)) {
        reply(peer,
              submit_reply{request.requestId,
                           {source::submission_outcome::Refused, {}, failure->message}});
        return;
    }
    m_log.propose(core::valueIn(std::move(command)),
                  [this, peer, requestId = request.requestId](const auto &outcome) {
                      if (core::errorIn(outcome) != nullptr) {
                          reply(peer, notLeaderReply(requestId));
                      } else if (const auto &decided = core::valueIn(outcome).submission) {
                          reply(peer, submit_reply{requestId, *decided});
                      }
                  });
}

void source_host::handleMessage(const core::endpoint &peer, const state_request &request)
{
    if (!m_log.leads() && !request.allowsStale) {
        reply(peer, notLeaderReply(request.requestId));
        return;
    }
    const source::state_machine &state = m_log.state();
    state_reply answer;
    answer.requestId = request.requestId;
    answer.version = state.version();
    answer.documentVersion = state.documentVersion();
    answer.original = state.originalBytes();
    answer.moves = state.moves();
    answer.changes.assign(state.changes().begin(), state.changes().end());
    answer.moveHistory.assign(state.moveHistory().begin(), state.moveHistory().end());
    reply(peer, answer);
}

void source_host::handleMessage(const core::endpoint &peer, const ledger_admission_request &request)
{
    if (!m_log.leads()) {
        return;
    }
    const auto answer = [this, peer, request] {
        const auto first = m_log.state().ledgerAdmission(request.address);
        if (first) {
            reply(peer, ledger_admission_reply{request.nonce, *first == request.nonce});
        }
    };
    if (m_log.state().ledgerAdmission(request.address)) {
        answer();
        return;
    }
    m_log.propose(source::admit_ledger_command{request.address, request.nonce},
                  [answer](const core::result<source::apply_result> &outcome) {
                      if (core::errorIn(outcome) == nullptr) {
                          answer();
                      }
                  });
}

void source_host::handleMessage(const core::endpoint &, const ledger_admission_reply &answer)
{
    m_ledger.handleAdmission(answer.nonce, answer.isFirst);
}

template<typename Other>
void source_host::handleMessage(const core::endpoint &, const Other &)
{
    // Replies are handled by source_client on the node.
}

void source_host::publishState()
{
    const source::state_machine &state = m_log.state();
    m_moves.setCommitted({state.version(), state.moves()});
    if (state.version().isNone()) {
        return;
    }
    m_context.record(
        m_context.event("version-committed").step("commit").version(state.version()).build());
    performEffects(
        m_publisher.publish(state.version(),
                            std::make_shared<const document::resource_map>(state.resources()),
                            m_context.clock.monotonicNow()));
}

void source_host::performEffects(const distribution::effects &wanted)
{
    for (const distribution::effect &each : wanted) {
        perform(each);
    }
}

void source_host::perform(const distribution::effect &wanted)
{
    if (const auto *sent = std::get_if<distribution::send_message>(&wanted)) {
        send(sent->peer, wire::channel::Distribution, wire::encode(sent->body));
    } else if (const auto *read = std::get_if<distribution::confirm_read>(&wanted)) {
        m_log.confirmRead([this, readId = read->readId](const auto &outcome) {
            performEffects(m_publisher.completeRead(readId, outcome));
        });
    } else if (const auto *failed = std::get_if<distribution::report_error>(&wanted)) {
        m_context.recordError("distribution-error", failed->failure);
    }
}

} // namespace jackdawweir::daemon
