#include "jackdawweir/agreement/replicated_log.h"

#include <random>
#include <variant>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement {

replicated_log::replicated_log(replicated_log_settings settings,
                               const core::clock &clock,
                               replicated_log_hooks hooks)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_engine(m_settings.seed ? *m_settings.seed : std::random_device()())
{
}

core::status replicated_log::open()
{
    core::status opened = openFiles();
    const core::error *failure = core::errorIn(opened);
    if (failure == nullptr) {
        startReplica();
        return opened;
    }
    const bool isFolderOpen = m_files != nullptr;
    if (!isFolderOpen || failure->code != core::error_code::Unavailable) {
        return opened;
    }
    scheduleReopen(*failure);
    return core::okStatus();
}

core::status replicated_log::openFiles()
{
    if (m_files == nullptr) {
        core::result<std::unique_ptr<storage::store>> files = m_settings.openFiles();
        if (const core::error *failure = core::errorIn(files)) {
            return *failure;
        }
        m_files = core::valueIn(std::move(files));
    }
    core::result<std::unique_ptr<replica_store>> store = replica_store::open(*m_files);
    const core::error *failure = core::errorIn(store);
    if (failure != nullptr && failure->code == core::error_code::DataLoss) {
        logError("disk-lost", *failure);
        core::status discarded = m_files->discardAll();
        if (core::errorIn(discarded) != nullptr) {
            return discarded;
        }
        store = replica_store::open(*m_files);
        failure = core::errorIn(store);
    }
    if (failure != nullptr) {
        return *failure;
    }
    m_store = core::valueIn(std::move(store));
    if (const auto &discardedLogTail = m_store->discardedLogTail()) {
        m_hooks.recordEvent(log_event{"log-tail-cut",
                                      "open-log",
                                      "",
                                      {{"bytes", std::to_string(discardedLogTail->bytes)},
                                       {"reason", discardedLogTail->reason}},
                                      std::nullopt});
    }
    return core::okStatus();
}

void replicated_log::startReplica()
{
    m_hooks.resetState();
    m_unwritten.clear();
    m_replica = std::make_unique<replica>(
        m_settings.replica, m_store->takeStored(), core::random_engine(m_engine()));
    perform(m_replica->start(m_clock.monotonicNow()));
}

core::status replicated_log::init()
{
    if (m_replica == nullptr) {
        // Whether the files hold the log of a member is not known, so they must not be discarded.
        return core::error{core::error_code::Unavailable,
                           "init",
                           m_settings.replica.address.value,
                           "the files of the log can't be opened at present"};
    }
    if (!m_replica->members().members.empty()) {
        return core::error{core::error_code::Conflict,
                           "init",
                           m_settings.replica.address.value,
                           "this source belongs to a deployment already"};
    }
    m_replica.reset();
    m_store.reset();
    core::status done = m_files->discardAll();
    if (core::errorIn(done) == nullptr) {
        done = initialise(*m_files, m_settings.replica.address, m_engine);
    }
    if (core::errorIn(done) == nullptr) {
        done = openFiles();
    }
    if (const core::error *failure = core::errorIn(done)) {
        scheduleReopen(*failure);
    } else {
        startReplica();
    }
    return done;
}

void replicated_log::setSourceAddresses(const std::vector<core::endpoint> &sourceAddresses)
{
    m_settings.replica.sourceAddresses = sourceAddresses;
    if (m_replica != nullptr) {
        m_replica->setSourceAddresses(sourceAddresses);
    }
}

void replicated_log::handle(const message &received, core::monotonic_time now)
{
    if (m_replica != nullptr) {
        perform(m_replica->receive(received, now));
    }
}

void replicated_log::tick(core::monotonic_time now)
{
    if (m_reopenAt && now >= *m_reopenAt) {
        reopen();
    }
    if (m_replica == nullptr) {
        return;
    }
    perform(m_replica->tick(now));
    if (leads() != m_wasLeader) {
        m_wasLeader = !m_wasLeader;
        m_hooks.leadershipChanged(m_wasLeader);
    }
}

void replicated_log::propose(std::string command, decided_handler done)
{
    if (m_replica == nullptr) {
        done(core::error{core::error_code::Unavailable, "propose", "", "the log is not open"});
        return;
    }
    const std::uint64_t number = ++m_lastRequestNumber;
    m_proposals[number] = pending_proposal{std::nullopt, std::move(done)};
    perform(m_replica->propose(number, std::move(command), m_clock.monotonicNow()));
}

void replicated_log::confirmRead(confirmed_handler done)
{
    if (m_replica == nullptr) {
        done(core::error{core::error_code::Unavailable, "confirm-read", "", "the log is not open"});
        return;
    }
    const std::uint64_t number = ++m_lastRequestNumber;
    m_reads[number] = std::move(done);
    perform(m_replica->confirmRead(number, m_clock.monotonicNow()));
}

bool replicated_log::leads() const
{
    return m_replica != nullptr && m_replica->hasLease(m_clock.monotonicNow());
}

core::endpoint replicated_log::leader() const
{
    return m_replica == nullptr ? core::endpoint{} : m_replica->leaderAddress();
}

membership replicated_log::members() const
{
    return m_replica == nullptr ? membership{} : m_replica->members();
}

std::uint64_t replicated_log::term() const
{
    return m_replica == nullptr ? 0 : m_replica->term();
}

void replicated_log::perform(const effects &wanted)
{
    for (const effect &each : wanted) {
        std::visit([this](const auto &body) { perform(body); }, each);
    }
}

void replicated_log::perform(const send_message &wanted)
{
    m_hooks.send(wanted.to, wanted.body);
}

void replicated_log::perform(const persist &wanted)
{
    m_unwritten.push_back(wanted);
    if (!std::exchange(m_isFlushPosted, true)) {
        m_hooks.post([this] { flush(); });
    }
}

void replicated_log::flush()
{
    m_isFlushPosted = false;
    if (m_store == nullptr || m_unwritten.empty()) {
        return;
    }
    const core::status written = writeAndSync();
    const std::vector<persist> batch = std::exchange(m_unwritten, {});
    const core::error *failure = core::errorIn(written);
    if (failure != nullptr) {
        logError("storage-failed", *failure);
        m_reopenAt = m_clock.monotonicNow() + m_settings.reopenInterval;
    }
    for (const persist &each : batch) {
        const core::monotonic_time now = m_clock.monotonicNow();
        perform(failure == nullptr ? m_replica->persisted(each.sequence, now)
                                   : m_replica->persistFailed(each.sequence, now));
    }
}

core::status replicated_log::writeAndSync()
{
    for (const persist &each : m_unwritten) {
        core::status written = m_store->write(each);
        if (core::errorIn(written) != nullptr) {
            return written;
        }
    }
    return m_store->sync();
}

void replicated_log::perform(const committed_entries &wanted)
{
    for (const entry &each : wanted.entries) {
        if (each.kind == entry_kind::Command) {
            m_hooks.apply(each);
        }
        if (each.kind == entry_kind::Membership) {
            logMembers(each);
        }
        completeProposals(each);
    }
}

void replicated_log::logMembers(const entry &committed)
{
    const core::result<membership> decoded = wire::decodeValue<membership>(committed.payload);
    if (const core::error *failure = core::errorIn(decoded)) {
        logError("members-refused", *failure);
        return;
    }
    const membership &held = core::valueIn(decoded);
    const std::size_t voters = held.voters().size();
    m_hooks.recordEvent(log_event{"source-members",
                                  "commit",
                                  "",
                                  {{"voters", std::to_string(voters)},
                                   {"learners", std::to_string(held.members.size() - voters)},
                                   {"removed", std::to_string(held.removed.size())}},
                                  std::nullopt});
}

void replicated_log::logError(const char *name, const core::error &failure)
{
    m_hooks.recordEvent(log_event{name, failure.step, failure.peer, {}, failure});
}

void replicated_log::completeProposals(const entry &committed)
{
    for (auto each = m_proposals.begin(); each != m_proposals.end();) {
        const std::optional<log_position> &position = each->second.position;
        if (!position || position->index > committed.index) {
            ++each;
            continue;
        }
        const decided_handler done = std::move(each->second.done);
        const log_position decided = *position;
        const bool isCommitted = decided.index == committed.index && decided.term == committed.term;
        each = m_proposals.erase(each);
        if (isCommitted) {
            done(decided);
        } else {
            done(core::error{core::error_code::Unavailable,
                             "commit",
                             "",
                             "the leader changed before the entry was committed"});
        }
    }
}

void replicated_log::perform(const restore_snapshot &wanted)
{
    const core::status restored
        = m_hooks.restoreState(wanted.restored.state, wanted.restored.last.index);
    if (const core::error *failure = core::errorIn(restored)) {
        logError("snapshot-refused", *failure);
    }
}

void replicated_log::perform(const proposal_appended &wanted)
{
    const auto found = m_proposals.find(wanted.proposal);
    if (found != m_proposals.end()) {
        found->second.position = wanted.position;
    }
}

void replicated_log::perform(const proposal_refused &wanted)
{
    const auto found = m_proposals.extract(wanted.proposal);
    if (!found.empty()) {
        found.mapped().done(wanted.reason);
    }
}

void replicated_log::perform(const read_confirmed &wanted)
{
    const auto found = m_reads.extract(wanted.read);
    if (!found.empty()) {
        found.mapped()(core::okStatus());
    }
}

void replicated_log::perform(const read_refused &wanted)
{
    const auto found = m_reads.extract(wanted.read);
    if (!found.empty()) {
        found.mapped()(wanted.reason);
    }
}

void replicated_log::perform(const role_changed &wanted)
{
    m_hooks.recordEvent(
        log_event{"source-role",
                  "agreement",
                  wanted.leader.value,
                  {{"role", toString(wanted.role)}, {"term", std::to_string(wanted.term)}},
                  std::nullopt});
}

void replicated_log::perform(const snapshot_wanted &wanted)
{
    perform(m_replica->compact(wanted.index, m_hooks.encodeState(), m_clock.monotonicNow()));
}

void replicated_log::perform(const identity_rejected &wanted)
{
    logError("identity-rejected", wanted.reason);
    // Posted, because the replica that returned this effect must not be destroyed during its call.
    m_hooks.post([this] { restartUnderNewIdentity(); });
}

void replicated_log::perform(const start_unconfirmed &wanted)
{
    m_hooks.recordEvent(log_event{
        "start-unconfirmed",
        "confirm-start",
        "",
        {{"answers", std::to_string(wanted.answers)}, {"voters", std::to_string(wanted.voters)}},
        std::nullopt});
}

void replicated_log::reopen()
{
    m_reopenAt.reset();
    failPendingCalls();
    m_replica.reset();
    m_store.reset();
    m_files.reset();
    const core::status opened = openFiles();
    if (const core::error *failure = core::errorIn(opened)) {
        scheduleReopen(*failure);
        return;
    }
    startReplica();
    m_hooks.recordEvent(log_event{"storage-reopened", "open-log", "", {}, std::nullopt});
}

void replicated_log::scheduleReopen(const core::error &failure)
{
    logError("storage-failed", failure);
    m_store.reset();
    m_files.reset();
    m_reopenAt = m_clock.monotonicNow() + m_settings.reopenInterval;
}

void replicated_log::failPendingCalls()
{
    const core::error failure{
        core::error_code::Unavailable, "commit", "", "this source starts its log again"};
    for (const auto &[number, proposal] : std::exchange(m_proposals, {})) {
        proposal.done(failure);
    }
    for (const auto &[number, done] : std::exchange(m_reads, {})) {
        done(failure);
    }
}

void replicated_log::restartUnderNewIdentity()
{
    failPendingCalls();
    m_replica.reset();
    m_store.reset();
    core::status done = m_files->discardAll();
    if (core::errorIn(done) == nullptr) {
        done = openFiles();
    }
    if (const core::error *failure = core::errorIn(done)) {
        scheduleReopen(*failure);
    } else {
        startReplica();
    }
}

} // namespace jackdawweir::agreement
