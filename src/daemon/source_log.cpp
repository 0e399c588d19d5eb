#include "daemon/source_log.h"

#include <utility>

#include "jackdawweir/storage/file_store.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

constexpr const char *agreementFolder = "/agreement";

agreement::replicated_log_settings logSettings(const settings::daemon_settings &daemonSettings)
{
    agreement::replicated_log_settings settings;
    settings.openFiles = [folder = daemonSettings.source->dataFolder + agreementFolder] {
        return storage::openFileStore(folder);
    };
    settings.replica.address = daemonSettings.source->mesh;
    settings.replica.sourceAddresses = daemonSettings.sources;
    return settings;
}

} // namespace

source_log::source_log(process_context &context,
                       event_loop &loop,
                       const mesh_send &send,
                       log_observer observer)
    : m_context(context)
    , m_observer(std::move(observer))
    , m_log(logSettings(context.settings), context.clock, hooks(loop, send))
{
}

agreement::replicated_log_hooks source_log::hooks(event_loop &loop, const mesh_send &send)
{
    agreement::replicated_log_hooks logHooks;
    logHooks.send = [send](const core::endpoint &to, const agreement::message &sent) {
        send(to, wire::channel::Agreement, wire::encode(sent));
    };
    logHooks.post = [&loop](std::function<void()> function) {
        loop.post(std::move(function));
    };
    logHooks.apply = [this](const agreement::entry &committed) {
        apply(committed);
    };
    logHooks.encodeState = [this] {
        return m_state.encode();
    };
    logHooks.restoreState = [this](std::string_view state, std::uint64_t) {
        core::status restored = m_state.restore(state);
        if (core::errorIn(restored) == nullptr) {
            m_observer.changed();
        }
        return restored;
    };
    logHooks.resetState = [this] {
        m_state = source::state_machine();
    };
    logHooks.leadershipChanged = [this](bool leads) {
        m_observer.leadershipChanged(leads);
    };
    logHooks.recordEvent = [this](const agreement::log_event &loggedEvent) {
        m_context.record(m_context.eventOf(loggedEvent));
    };
    return logHooks;
}

core::status source_log::open()
{
    return m_log.open();
}

core::status source_log::init()
{
    return m_log.init();
}

void source_log::handle(const agreement::message &received, core::monotonic_time now)
{
    m_log.handle(received, now);
}

void source_log::tick(core::monotonic_time now)
{
    m_log.tick(now);
}

void source_log::propose(const source::command &command, proposal_handler done)
{
    m_log.propose(
        wire::encode(command),
        [this, done = std::move(done)](const core::result<agreement::log_position> &decided) {
            if (const core::error *failure = core::errorIn(decided)) {
                done(*failure);
            } else {
                done(m_lastApplied);
            }
        });
}

void source_log::confirmRead(read_handler done)
{
    m_log.confirmRead([this, done = std::move(done)](const core::status &confirmed) {
        if (const core::error *failure = core::errorIn(confirmed)) {
            done(*failure);
        } else {
            done(m_state.version());
        }
    });
}

bool source_log::leads() const
{
    return m_log.leads();
}

core::endpoint source_log::leader() const
{
    return m_log.leader();
}

const source::state_machine &source_log::state() const
{
    return m_state;
}

void source_log::apply(const agreement::entry &committed)
{
    m_lastApplied = source::apply_result();
    core::result<source::apply_result> outcome
        = m_state.applyEncoded(committed.payload, committed.term);
    if (const core::error *failure = core::errorIn(outcome)) {
        m_context.recordError("command-refused", *failure);
        return;
    }
    m_lastApplied = core::valueIn(std::move(outcome));
    if (m_lastApplied.isChanged) {
        m_observer.changed();
    }
}

} // namespace jackdawweir::daemon
