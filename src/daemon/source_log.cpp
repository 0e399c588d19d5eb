#include "daemon/source_log.h"

#include <random>
#include <utility>
#include <variant>

#include "jackdawweir/storage/file_store.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

constexpr const char *agreementFolder = "/agreement";

} // namespace

source_log::source_log(process_context &context,
                       event_loop &loop,
                       mesh_send send,
                       log_observer observer)
    : m_context(context)
    , m_loop(loop)
    , m_send(std::move(send))
    , m_observer(std::move(observer))
    , m_engine(std::random_device()())
{
}

core::status source_log::open()
{
    core::status opened = openFiles();
    if (core::errorIn(opened) != nullptr) {
        return opened;
    }
    return startReplica();
}

core::status source_log::openFiles()
{
    if (m_files == nullptr) {
        core::result<std::unique_ptr<storage::store>> files
            = storage::openFileStore(m_context.settings.source->dataFolder + agreementFolder);
        if (const core::error *failure = core::errorIn(files)) {
            return *failure;
        }
        m_files = core::valueIn(std::move(files));
    }
    core::result<std::unique_ptr<agreement::replica_store>> store
        = agreement::replica_store::open(*m_files);
    const core::error *failure = core::errorIn(store);
    if (failure != nullptr && failure->code == core::error_code::DataLoss) {
        m_context.recordError("disk-lost", *failure);
        core::status discarded = m_files->discardAll();
        if (core::errorIn(discarded) != nullptr) {
            return discarded;
        }
        store = agreement::replica_store::open(*m_files);
        failure = core::errorIn(store);
    }
    if (failure != nullptr) {
        return *failure;
    }
    m_store = core::valueIn(std::move(store));
    if (m_store->cut()) {
        m_context.record(m_context.event("log-tail-cut")
                             .level(observe::log_level::Warning)
                             .step("open-log")
                             .field("bytes", std::to_string(m_store->cut()->bytes))
                             .field("reason", m_store->cut()->reason)
                             .build());
    }
    return core::okStatus();
}

core::status source_log::startReplica()
{
    agreement::replica_settings settings;
    settings.address = m_context.settings.source->mesh;
    settings.configured = m_context.settings.sources;
    m_state = source::state_machine();
    m_unwritten.clear();
    m_replica = std::make_unique<agreement::replica>(
        settings, m_store->takeStored(), core::random_engine(m_engine()));
    perform(m_replica->start(m_context.clock.monotonicNow()));
    return core::okStatus();
}

core::status source_log::init()
{
    if (m_replica != nullptr && !m_replica->members().members.empty()) {
        return core::error{core::error_code::Conflict,
                           "init",
                           m_context.settings.source->mesh.value,
                           "this source belongs to a deployment already"};
    }
    m_replica.reset();
    m_store.reset();
    core::status done = m_files->discardAll();
    if (core::errorIn(done) == nullptr) {
        done = agreement::initialise(*m_files, m_context.settings.source->mesh, m_engine);
    }
    if (core::errorIn(done) != nullptr) {
        return done;
    }
    return open();
}

void source_log::handle(const agreement::message &received, core::monotonic_time now)
{
    if (m_replica != nullptr) {
        perform(m_replica->receive(received, now));
    }
}

void source_log::tick(core::monotonic_time now)
{
    if (m_replica == nullptr) {
        return;
    }
    perform(m_replica->tick(now));
    if (leads() != m_led) {
        m_led = !m_led;
        m_observer.leadershipChanged(m_led);
    }
}

void source_log::propose(const source::command &command, proposal_handler done)
{
    const std::uint64_t number = ++m_lastNumber;
    m_proposals[number] = waiting_proposal{std::nullopt, std::move(done)};
    perform(m_replica->propose(number, wire::encode(command), m_context.clock.monotonicNow()));
}

void source_log::confirmRead(read_handler done)
{
    const std::uint64_t number = ++m_lastNumber;
    m_reads[number] = std::move(done);
    perform(m_replica->confirmRead(number, m_context.clock.monotonicNow()));
}

bool source_log::leads() const
{
    return m_replica != nullptr && m_replica->hasLease(m_context.clock.monotonicNow());
}

core::endpoint source_log::leader() const
{
    return m_replica == nullptr ? core::endpoint{} : m_replica->leaderAddress();
}

const source::state_machine &source_log::state() const
{
    return m_state;
}

void source_log::perform(const agreement::effects &wanted)
{
    for (const agreement::effect &each : wanted) {
        std::visit([this](const auto &effect) { perform(effect); }, each);
    }
}

void source_log::perform(const agreement::send_message &wanted)
{
    m_send(wanted.to, wire::channel::Agreement, wire::encode(wanted.body));
}

void source_log::perform(const agreement::persist &wanted)
{
    m_unwritten.push_back(wanted);
    if (!std::exchange(m_isFlushPosted, true)) {
        m_loop.post([this] { flush(); });
    }
}

void source_log::flush()
{
    m_isFlushPosted = false;
    if (m_store == nullptr || m_unwritten.empty()) {
        return;
    }
    core::status written = writePending();
    const std::vector<agreement::persist> batch = std::exchange(m_unwritten, {});
    const core::error *failure = core::errorIn(written);
    if (failure != nullptr) {
        m_context.recordError("storage-failed", *failure);
    }
    for (const agreement::persist &each : batch) {
        const core::monotonic_time now = m_context.clock.monotonicNow();
        perform(failure == nullptr ? m_replica->persisted(each.sequence, now)
                                   : m_replica->persistFailed(each.sequence, now));
    }
}

core::status source_log::writePending()
{
    for (const agreement::persist &each : m_unwritten) {
        core::status written = m_store->write(each);
        if (core::errorIn(written) != nullptr) {
            return written;
        }
    }
    return m_store->sync();
}

void source_log::perform(const agreement::committed_entries &wanted)
{
    for (const agreement::entry &each : wanted.entries) {
        apply(each);
    }
}

void source_log::apply(const agreement::entry &committed)
{
    source::apply_result applied;
    if (committed.kind == agreement::entry_kind::Command) {
        core::result<source::apply_result> outcome
            = m_state.applyEncoded(committed.payload, committed.term);
        if (const core::error *failure = core::errorIn(outcome)) {
            m_context.recordError("command-refused", *failure);
        } else {
            applied = core::valueIn(std::move(outcome));
        }
    }
    if (committed.kind == agreement::entry_kind::Membership) {
        recordMembers(committed);
    }
    if (applied.isChanged) {
        m_observer.changed();
    }
    settleProposals(committed, applied);
}

void source_log::recordMembers(const agreement::entry &committed)
{
    const core::result<agreement::membership> decoded
        = wire::decodeValue<agreement::membership>(committed.payload);
    if (const core::error *failure = core::errorIn(decoded)) {
        m_context.recordError("members-refused", *failure);
        return;
    }
    const agreement::membership &held = core::valueIn(decoded);
    const std::size_t voters = held.voters().size();
    m_context.record(m_context.event("source-members")
                         .step("commit")
                         .field("voters", std::to_string(voters))
                         .field("learners", std::to_string(held.members.size() - voters))
                         .field("removed", std::to_string(held.removed.size()))
                         .build());
}

void source_log::settleProposals(const agreement::entry &committed,
                                 const source::apply_result &applied)
{
    for (auto each = m_proposals.begin(); each != m_proposals.end();) {
        const std::optional<agreement::log_position> &position = each->second.position;
        if (!position || position->index > committed.index) {
            ++each;
            continue;
        }
        const proposal_handler done = std::move(each->second.done);
        const bool isOwn = position->index == committed.index && position->term == committed.term;
        each = m_proposals.erase(each);
        if (isOwn) {
            done(applied);
        } else {
            done(core::error{core::error_code::Unavailable,
                             "commit",
                             "",
                             "the leader changed before the entry was committed"});
        }
    }
}

void source_log::perform(const agreement::restore_snapshot &wanted)
{
    const core::status restored = m_state.restore(wanted.restored.state);
    if (const core::error *failure = core::errorIn(restored)) {
        m_context.recordError("snapshot-refused", *failure);
        return;
    }
    m_observer.changed();
}

void source_log::perform(const agreement::proposal_appended &wanted)
{
    const auto found = m_proposals.find(wanted.proposal);
    if (found != m_proposals.end()) {
        found->second.position = wanted.position;
    }
}

void source_log::perform(const agreement::proposal_refused &wanted)
{
    const auto found = m_proposals.extract(wanted.proposal);
    if (!found.empty()) {
        found.mapped().done(wanted.reason);
    }
}

void source_log::perform(const agreement::read_confirmed &wanted)
{
    const auto found = m_reads.extract(wanted.read);
    if (!found.empty()) {
        found.mapped()(m_state.version());
    }
}

void source_log::perform(const agreement::read_refused &wanted)
{
    const auto found = m_reads.extract(wanted.read);
    if (!found.empty()) {
        found.mapped()(wanted.reason);
    }
}

void source_log::perform(const agreement::role_changed &wanted)
{
    m_context.record(m_context.event("source-role")
                         .step("agreement")
                         .peer(wanted.leader.value)
                         .field("role", agreement::toString(wanted.role))
                         .field("term", std::to_string(wanted.term))
                         .build());
}

void source_log::perform(const agreement::snapshot_wanted &wanted)
{
    perform(m_replica->compact(wanted.index, m_state.encode(), m_context.clock.monotonicNow()));
}

void source_log::perform(const agreement::identity_rejected &wanted)
{
    m_context.recordError("identity-rejected", wanted.reason);
    // Posted, since the replica whose effect this is must not be destroyed while it runs.
    m_loop.post([this] { restartUnderNewIdentity(); });
}

void source_log::restartUnderNewIdentity()
{
    m_replica.reset();
    m_store.reset();
    core::status done = m_files->discardAll();
    if (core::errorIn(done) == nullptr) {
        done = open();
    }
    if (const core::error *failure = core::errorIn(done)) {
        m_context.recordError("storage-failed", *failure);
    }
}

} // namespace jackdawweir::daemon
