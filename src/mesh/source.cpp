#include "jackdawweir/mesh/source.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/compression.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval{20};
constexpr milliseconds helloInterval{500};
constexpr milliseconds decideInterval{100};

// A source that is unreachable for this long is removed, unless the settings name it.
constexpr milliseconds removeSourceAfter{30'000};

// A node that has sent nothing for this long gets no more updates.
constexpr milliseconds removeNodeAfter{5'000};

// The number of views kept; a node that holds an older view gets the whole newest view.
constexpr std::size_t viewsKept = 16;

// Operators give up after a second without a response.
constexpr milliseconds callTimeout{850};

// Sources of one region answer within a few milliseconds and sync to disk within tens of
// milliseconds. A process that has used up its share of a core pauses for a tenth of a second,
// which must not be taken for the loss of the leader.
constexpr milliseconds heartbeatInterval{80};
constexpr milliseconds electionTimeout{400};
constexpr milliseconds leaseDuration{300};

// Limits of the log, which a starting source reads with part of a core while every node waits for
// it.
constexpr std::uint64_t entriesBeforeSnapshot = 24;
constexpr std::size_t bytesBeforeSnapshot = 1U << 20U;

// A source that is unreachable for this long is removed from the voters, so that a majority is
// still left when another one is lost. Longer than ordinary network interruptions and process
// pauses.
constexpr milliseconds removeUnreachableVotersAfter{8'000};

// Commands are accepted only with this many voters, since with fewer an accepted command could be
// lost with one disk.
constexpr std::size_t minVoters = 3;

// Commands are compressed since they hold a whole policy, which compresses to a tenth of its size
// and is sent to every other source.
std::string encodeCommand(const policy::command &command)
{
    return wire::compress(wire::encode(command));
}

policy::rollout_limits rolloutLimits(const mesh_settings &settings)
{
    policy::rollout_limits limits;
    limits.exposureFraction = settings.rolloutExposureRatio;
    limits.exposureMargin = settings.rolloutExposureAllowance;
    return limits;
}

// Returns the number that distinguishes the directories of two starts of one source.
std::uint64_t epochOf(const process_context &context)
{
    return context.incarnation;
}

} // namespace

source::source(process_context &context)
    : m_context(context)
    , m_transport(context.loop,
                  context.settings.mesh,
                  context.clock,
                  context.hybridClock,
                  [this](const transport::received_message &received) { dispatch(received); })
    , m_log(logSettings(), context.clock, logHooks())
    , m_directory(fleet::directory_settings{}, epochOf(context))
    , m_rollouts(rolloutLimits(context.settings))
{
}

agreement::replicated_log_settings source::logSettings() const
{
    agreement::replicated_log_settings settings;
    settings.folder = absl::StrCat(m_context.settings.source->dataFolder, "/agreement");
    settings.replica.address = m_context.settings.mesh;
    settings.replica.sourceAddresses = m_context.settings.sources;
    settings.replica.heartbeatInterval = heartbeatInterval;
    settings.replica.electionTimeout = electionTimeout;
    settings.replica.leaseDuration = leaseDuration;
    settings.replica.bootNoticeInterval = heartbeatInterval;
    settings.replica.entriesBeforeSnapshot = entriesBeforeSnapshot;
    settings.replica.bytesBeforeSnapshot = bytesBeforeSnapshot;
    settings.replica.removeUnreachableAfter = removeUnreachableVotersAfter;
    settings.replica.minVotersKept = minVoters;
    return settings;
}

agreement::replicated_log_hooks source::logHooks()
{
    agreement::replicated_log_hooks hooks;
    hooks.send = [this](const core::endpoint &to, const agreement::message &outgoing) {
        m_transport.send(to, wire::channel::Agreement, wire::encode(outgoing));
    };
    hooks.post = [this](std::function<void()> function) {
        boost::asio::post(m_context.loop, std::move(function));
    };
    hooks.apply = [this](const agreement::entry &committed) {
        apply(committed);
    };
    hooks.encodeState = [this] {
        return m_state.encode();
    };
    hooks.restoreState = [this](std::string_view state, std::uint64_t) {
        core::status restored = m_state.restore(state);
        m_awaitedRevisions.reached(m_state.view().revision);
        schedulePush();
        return restored;
    };
    hooks.resetState = [this] {
        m_state = policy::policy_state();
        m_views.clear();
    };
    hooks.leadershipChanged = [this](bool leads) {
        m_context.record(m_context.event(leads ? "leadership-gained" : "leadership-lost")
                             .step("agreement")
                             .field("term", std::to_string(m_log.term()))
                             .build());
    };
    hooks.recordEvent = [this](const agreement::log_event &logged) {
        m_context.recordLogEvent(logged);
    };
    return hooks;
}

core::status source::start()
{
    core::status started = m_transport.start();
    if (core::errorIn(started) == nullptr) {
        started = m_log.open();
    }
    if (core::errorIn(started) != nullptr) {
        return started;
    }
    applySettings();
    const mesh_settings &meshSettings = m_context.settings;
    // The initial settings of all sources name the same sources, so only one source ever makes
    // itself the first voter, and two separate groups of voters never form.
    const auto first = std::min_element(meshSettings.sources.begin(), meshSettings.sources.end());
    const bool isFirst = first != meshSettings.sources.end() && *first == meshSettings.mesh;
    if (meshSettings.source->bootstrap && isFirst) {
        core::status initialised = m_log.init();
        const core::error *failure = core::errorIn(initialised);
        if (failure != nullptr && failure->code != core::error_code::Conflict) {
            return initialised;
        }
    }
    m_context.runEvery(tickInterval, [this] { tick(); });
    m_context.runEvery(helloInterval, [this] {
        updateSources();
        sendHellos();
    });
    m_context.runEvery(decideInterval, [this] {
        if (!m_log.leads()) {
            return;
        }
        establishVersions();
        for (const policy::advance_rollout &each : m_rollouts.decide(
                 m_state.view(), m_directory.hosts(), m_context.now(), m_context.clock.wallNow())) {
            m_context.record(m_context.event("rollout-decided")
                                 .step("decide")
                                 .field("service", each.service.value)
                                 .field("rollout", std::to_string(each.id))
                                 .field("phase", policy::toString(each.phase))
                                 .field("share", std::to_string(each.share))
                                 .field("reason", each.reason)
                                 .build());
            m_log.propose(encodeCommand(each), [](const core::result<agreement::log_position> &) {
                // The driver repeats a decision until its result shows in the view.
            });
        }
    });
    m_context.runEvery(process_context::counterLogInterval,
                       [this] { m_context.recordTraffic(m_transport); });
    sendHellos();
    return core::okStatus();
}

void source::applySettings()
{
    for (auto &[endpoint, known] : m_sources) {
        known.isConfigured = false;
    }
    for (const core::endpoint &each : m_context.settings.sources) {
        m_sources[each].isConfigured = true;
    }
    updateSources();
}

void source::updateSources()
{
    const core::monotonic_time now = m_context.now();
    std::erase_if(m_sources, [&](const auto &each) {
        return !each.second.isConfigured && now >= each.second.lastSeenAt + removeSourceAfter;
    });
    m_log.setSourceAddresses(knownSources());
}

std::vector<core::endpoint> source::knownSources() const
{
    std::vector<core::endpoint> listed{m_context.settings.mesh};
    for (const auto &[endpoint, known] : m_sources) {
        if (endpoint != m_context.settings.mesh) {
            listed.push_back(endpoint);
        }
    }
    return listed;
}

void source::sendHellos()
{
    for (const core::endpoint &each : knownSources()) {
        if (each != m_context.settings.mesh) {
            send(each, fleet::source_hello{knownSources(), m_directory.departed(m_context.now())});
        }
    }
}

void source::dispatch(const transport::received_message &received)
{
    if (received.target == wire::channel::Agreement) {
        if (const auto decoded = m_context.decode<agreement::message>(received)) {
            m_log.handle(*decoded, m_context.now());
        }
    } else if (const auto decoded = m_context.decode<fleet::message>(received)) {
        std::visit([&](const auto &body) { handleMessage(received.from, body); }, *decoded);
    }
}

void source::send(const core::endpoint &peer, const fleet::message &outgoing)
{
    m_transport.send(peer, wire::channel::Fleet, wire::encode(outgoing));
}

void source::handleMessage(const core::endpoint &peer, const fleet::source_hello &hello)
{
    const core::monotonic_time now = m_context.now();
    const bool isNew = !m_sources.contains(peer);
    m_sources[peer].lastSeenAt = now;
    if (m_directory.addDeparted(hello.departed, now)) {
        schedulePush();
    }
    for (const core::endpoint &each : hello.sources) {
        // Known only from another source's hello until its own hello arrives, which it sends when
        // it receives one from this source.
        m_sources.try_emplace(each, known_source{now, false});
    }
    if (isNew) {
        m_context.record(m_context.event("source-heard").peer(peer.value).step("greet").build());
        updateSources();
        sendHellos();
    }
}

void source::handleMessage(const core::endpoint &peer, const fleet::host_report &reported)
{
    const core::monotonic_time now = m_context.now();
    subscriber &recipient = m_subscribers[peer];
    recipient.lastSeenAt = now;
    m_rollouts.addReports(reported.host.host, reported.rollouts, now);
    if (m_directory.report(reported.host, reported.departed, now)) {
        m_context.record(m_context.event("host-changed")
                             .peer(peer.value)
                             .step("report")
                             .field("reported-host", reported.host.host.value)
                             .field("servers", std::to_string(reported.host.servers.size()))
                             .field("leaving", reported.host.isLeaving ? "true" : "false")
                             .build());
        schedulePush();
    }
    recipient.wantsDirectory = reported.wantsDirectory;
    fleet::source_update reply = revisionUpdate();
    if (reported.wantsDirectory) {
        addDirectory(reported.directoryEpoch, reported.directoryNumber, reply);
    }
    reply.sources = knownSources();
    reply.departed = m_directory.departed(reported.host.host, now);
    if (reported.wantsView) {
        addView(reported.heldRevision, reply);
    }
    recipient.sentDirectoryNumber = reply.directoryNumber;
    recipient.sentRevision = reply.revision;
    send(peer, reply);
}

fleet::source_update source::revisionUpdate() const
{
    fleet::source_update update;
    update.dataCentre = m_context.settings.dataCentre;
    update.revision = m_state.view().revision;
    return update;
}

void source::addDirectory(std::uint64_t epoch,
                          std::uint64_t number,
                          fleet::source_update &update) const
{
    fleet::directory_changes changes = m_directory.since(epoch, number);
    update.isWhole = changes.isWhole;
    update.changed = std::move(changes.changed);
    update.removed = std::move(changes.removed);
    update.directoryEpoch = m_directory.epoch();
    update.directoryNumber = m_directory.number();
    update.hasDirectory = true;
}

void source::storeView()
{
    const std::uint64_t revision = m_state.view().revision;
    if (revision == 0 || (!m_views.empty() && m_views.back().revision == revision)) {
        return;
    }
    m_views.push_back(policy::forNodes(m_state.view()));
    if (m_views.size() > viewsKept) {
        m_views.pop_front();
    }
}

void source::addView(std::uint64_t heldRevision, fleet::source_update &update)
{
    storeView();
    if (m_views.empty() || heldRevision >= m_views.back().revision) {
        return;
    }
    if (m_viewChangesRevision != m_views.back().revision) {
        m_viewChangesRevision = m_views.back().revision;
        m_viewChanges.clear();
    }
    std::string &encoded = m_viewChanges[heldRevision];
    if (encoded.empty()) {
        encoded = policy::encodeViewChange(changeFrom(heldRevision));
    }
    update.viewChange = encoded;
}

policy::view_change source::changeFrom(std::uint64_t heldRevision) const
{
    const auto held = std::find_if(m_views.begin(), m_views.end(), [&](const auto &each) {
        return each.revision == heldRevision;
    });
    if (held == m_views.end()) {
        return m_views.back();
    }
    return policy::makeDelta(*held, m_views.back());
}

void source::schedulePush()
{
    if (std::exchange(m_isPushScheduled, true)) {
        return;
    }
    boost::asio::post(m_context.loop, [this] {
        m_isPushScheduled = false;
        pushUpdates();
    });
}

void source::pushUpdates()
{
    const core::monotonic_time now = m_context.now();
    const std::uint64_t revision = m_state.view().revision;
    std::erase_if(m_subscribers, [now](const auto &each) {
        return now >= each.second.lastSeenAt + removeNodeAfter;
    });
    storeView();
    for (auto &[peer, recipient] : m_subscribers) {
        const bool needsDirectory
            = recipient.wantsDirectory && recipient.sentDirectoryNumber != m_directory.number();
        if (recipient.sentRevision == revision && !needsDirectory) {
            continue;
        }
        fleet::source_update outgoing = revisionUpdate();
        if (recipient.wantsDirectory) {
            addDirectory(m_directory.epoch(), recipient.sentDirectoryNumber, outgoing);
            recipient.sentDirectoryNumber = outgoing.directoryNumber;
        }
        recipient.sentRevision = outgoing.revision;
        send(peer, outgoing);
    }
}

void source::tick()
{
    const core::monotonic_time now = m_context.now();
    m_log.tick(now);
    if (m_directory.expire(now)) {
        schedulePush();
    }
    expireCalls();
}

void source::apply(const agreement::entry &committed)
{
    const std::uint64_t before = m_state.view().revision;
    const core::result<std::string> command = wire::decompress(committed.payload);
    if (const core::error *failure = core::errorIn(command)) {
        m_context.recordError("command-refused", *failure);
        m_lastResult = policy::command_result();
        return;
    }
    const core::result<policy::command_result> outcome
        = m_state.applyEncoded(core::valueIn(command), committed.index);
    if (const core::error *failure = core::errorIn(outcome)) {
        m_context.recordError("command-refused", *failure);
        m_lastResult = policy::command_result();
        return;
    }
    m_lastResult = core::valueIn(outcome);
    if (m_state.view().revision == before) {
        return;
    }
    m_awaitedRevisions.reached(m_state.view().revision);
    for (const policy::rollout &each : m_state.view().rollouts) {
        if (each.id == committed.index) {
            m_rollouts.recordStart(each.id, m_context.now());
        }
    }
    m_context.record(m_context.event("state-changed")
                         .step("commit")
                         .field("revision", std::to_string(m_state.view().revision))
                         .field("policy", std::to_string(m_state.view().policy.number))
                         .build());
    schedulePush();
}

bool source::canAcceptCommands() const
{
    const std::size_t requiredVoters = std::min(minVoters, m_context.settings.sources.size());
    return m_log.leads() && m_log.members().voters().size() >= requiredVoters;
}

void source::establishVersions()
{
    std::map<core::service_name, std::set<core::version_name>> present;
    for (const fleet::host_record &host : m_directory.hosts()) {
        for (const fleet::server_record &server : host.servers) {
            if (!server.version.empty()) {
                present[server.service].insert(server.version);
            }
        }
    }
    for (const auto &[service, versions] : present) {
        const bool isKnown = m_state.view().versions.contains(service);
        if (isKnown || versions.size() != 1 || !m_establishing.insert(service).second) {
            continue;
        }
        m_log.propose(encodeCommand(policy::establish_version{service, *versions.begin()}),
                      [this, service = service](const core::result<agreement::log_position> &) {
                          m_establishing.erase(service);
                      });
    }
}

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
    const std::uint64_t number = ++m_lastCallNumber;
    pending[number] = {std::move(handler), m_context.now() + callTimeout};
    return [&pending, number](const auto &outcome) {
        auto found = pending.extract(number);
        if (!found.empty()) {
            found.mapped().handler(outcome);
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
    const std::uint64_t number = ++m_lastCallNumber;
    pending[number] = {std::move(handler), m_context.now() + callTimeout};
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

void source::updateGauges()
{
    m_context.processMetrics.setRevision(m_state.view().revision, m_state.view().policy.number);
}

core::wall_time source::wallNow() const
{
    return m_context.clock.wallNow();
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

void source::handleMessage(const core::endpoint & /*peer*/, const fleet::command_reply &reply)
{
    auto found = m_pendingCommands.extract(reply.number);
    if (!found.empty()) {
        found.mapped().handler(reply.result);
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

void source::handleMessage(const core::endpoint & /*peer*/, const fleet::view_reply &reply)
{
    auto found = m_pendingReads.extract(reply.number);
    if (found.empty()) {
        return;
    }
    const auto &[handler, deadline] = found.mapped();
    if (!reply.revision) {
        handler(std::nullopt);
        return;
    }
    m_awaitedRevisions.add(*reply.revision, deadline, [this, handler = handler](bool isReached) {
        handler(isReached ? std::optional(m_state.view()) : std::nullopt);
    });
    m_awaitedRevisions.reached(m_state.view().revision);
}

void source::handleMessage(const core::endpoint &peer, const fleet::source_update & /*update*/)
{
    m_context.recordError("message-refused",
                          core::error{core::error_code::InvalidArgument,
                                      "update",
                                      peer.value,
                                      "a source does not accept updates"});
}

void source::expireCalls()
{
    const core::monotonic_time now = m_context.now();
    const auto expirePending = [now](auto &calls) {
        for (auto each = calls.begin(); each != calls.end();) {
            if (now < each->second.deadline) {
                ++each;
                continue;
            }
            const auto handler = std::move(each->second.handler);
            each = calls.erase(each);
            handler(std::nullopt);
        }
    };
    expirePending(m_pendingCommands);
    expirePending(m_pendingReads);
    m_awaitedRevisions.expire(now);
}

} // namespace jackdawweir::mesh
