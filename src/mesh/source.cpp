#include "jackdawweir/mesh/source.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/compression.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval{20};
constexpr milliseconds helloInterval{500};
constexpr milliseconds decideInterval{100};

// The interval of hellos that contain the list of sources, in hellos.
constexpr std::uint64_t hellosPerList = 4;

// A source that sends no hello for this long is replaced as the one that the directory of its data
// centre is requested from: two hellos and a pause of its process.
constexpr milliseconds helloTimeout{1'200};

// A source without contact with the leader for this long may miss changes, and its nodes use other
// sources as well. Longer than an election.
constexpr milliseconds leaderTimeout{1'000};

// Departures that are at most this old are repeated with each update to another source, since an
// update may be lost with its link.
constexpr milliseconds repeatDeparturesFor{3'000};

// A source that is unreachable for this long is removed, unless the settings name it.
constexpr milliseconds removeSourceAfter{30'000};

// A node that has sent nothing for this long gets no more updates.
constexpr milliseconds removeNodeAfter{2'000};

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

fleet::fleet_view_settings remoteHostSettings()
{
    fleet::fleet_view_settings settings;
    // Hosts that no reachable source lists are not published: they may be gone.
    settings.keepsLastHosts = false;
    return settings;
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
    , m_remoteHosts(remoteHostSettings())
    , m_exportedHosts(epochOf(context))
    , m_publishedHosts(epochOf(context))
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
        sendHellos(++m_helloCount % hellosPerList == 0);
    });
    m_context.runEvery(decideInterval, [this] {
        if (!m_log.leads()) {
            return;
        }
        establishVersions();
        for (const policy::advance_rollout &each : m_rollouts.decide(m_state.view(),
                                                                     m_publishedHosts.hosts(),
                                                                     m_context.now(),
                                                                     m_context.clock.wallNow())) {
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
    sendHellos(true);
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

std::vector<fleet::source_record> source::sourceRecords() const
{
    std::vector<fleet::source_record> records{
        {m_context.settings.mesh, m_context.settings.dataCentre}};
    for (const auto &[endpoint, known] : m_sources) {
        // A source that only others know is not passed on, so that one that is gone is forgotten.
        if (endpoint != m_context.settings.mesh && (known.isConfigured || known.heardAt)) {
            records.push_back(fleet::source_record{endpoint, known.dataCentre});
        }
    }
    return records;
}

std::set<core::endpoint> source::directorySources() const
{
    const core::monotonic_time now = m_context.now();
    std::set<core::endpoint> chosen;
    // The sources of a data centre share the load: each requester prefers another one.
    std::map<core::data_centre_name, std::pair<std::uint64_t, core::endpoint>> preferred;
    for (const auto &[endpoint, known] : m_sources) {
        if (endpoint == m_context.settings.mesh || !known.heardAt
            || now >= *known.heardAt + helloTimeout) {
            continue;
        }
        if (known.dataCentre == m_context.settings.dataCentre) {
            chosen.insert(endpoint);
            continue;
        }
        const std::uint64_t preference
            = core::checksumOf(absl::StrCat(m_context.settings.mesh.value, " ", endpoint.value));
        const auto candidate = std::pair(preference, endpoint);
        const auto [held, isNew] = preferred.try_emplace(known.dataCentre, candidate);
        if (!isNew) {
            held->second = std::min(held->second, candidate);
        }
    }
    for (const auto &[dataCentre, candidate] : preferred) {
        chosen.insert(candidate.second);
    }
    return chosen;
}

fleet::source_hello source::helloFor(const core::endpoint &peer,
                                     const std::set<core::endpoint> &directorySources,
                                     bool withSources) const
{
    fleet::source_hello hello;
    hello.dataCentre = m_context.settings.dataCentre;
    if (withSources) {
        hello.sources = sourceRecords();
    }
    hello.wantsDirectory = directorySources.contains(peer);
    const fleet::directory_position held = m_remoteHosts.directoryPosition(peer);
    hello.directoryEpoch = held.epoch;
    hello.directoryNumber = held.number;
    return hello;
}

void source::sendHellos(bool withSources)
{
    const std::set<core::endpoint> wanted = directorySources();
    for (const core::endpoint &each : knownSources()) {
        if (each != m_context.settings.mesh) {
            send(each, helloFor(each, wanted, withSources));
        }
    }
}

bool source::isCurrent() const
{
    return m_log.leads()
        || (!m_log.leader().empty() && m_context.now() < m_leaderHeardAt + leaderTimeout);
}

void source::dispatch(const transport::received_message &received)
{
    if (received.target == wire::channel::Agreement) {
        if (const auto decoded = m_context.decode<agreement::message>(received)) {
            m_log.handle(*decoded, m_context.now());
            if (received.from == m_log.leader()) {
                m_leaderHeardAt = m_context.now();
            }
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
    known_source &known = m_sources[peer];
    const bool isNew = !known.heardAt;
    known.lastSeenAt = now;
    known.heardAt = now;
    known.dataCentre = hello.dataCentre;
    for (const fleet::source_record &each : hello.sources) {
        // Known only from another source's hello until its own hello arrives, which it sends when
        // it receives one from this source.
        m_sources.try_emplace(each.endpoint, known_source{now, false, each.dataCentre, {}});
    }
    if (isNew) {
        m_context.record(m_context.event("source-heard").peer(peer.value).step("greet").build());
        updateSources();
        sendHellos(true);
    }
    subscriber &recipient = m_subscribers[peer];
    recipient.lastSeenAt = now;
    recipient.kind = hello.dataCentre == m_context.settings.dataCentre
        ? subscriber_kind::OwnSource
        : subscriber_kind::OtherSource;
    recipient.wantsDirectory = hello.wantsDirectory;
    if (hello.wantsDirectory && !m_transport.isCongested(peer)) {
        fleet::source_update reply = revisionUpdate();
        addDirectory(recipient, hello.directoryEpoch, hello.directoryNumber, reply);
        recipient.sentDirectoryNumber = reply.directoryNumber;
        send(peer, reply);
    }
}

void source::handleMessage(const core::endpoint &peer, const fleet::host_report &reported)
{
    const core::monotonic_time now = m_context.now();
    subscriber &recipient = m_subscribers[peer];
    recipient.lastSeenAt = now;
    addRollouts(reported.host.host, reported.rollouts);
    if (reported.passOnRollouts) {
        passOnRollouts(reported.host.host, reported.rollouts);
    }
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
    if (m_transport.isCongested(peer)) {
        // The node asks again with its next report.
        return;
    }
    fleet::source_update reply = revisionUpdate();
    if (reported.wantsDirectory) {
        addDirectory(recipient, reported.directoryEpoch, reported.directoryNumber, reply);
    }
    if (reported.wantsSources) {
        reply.sources = sourceRecords();
    }
    reply.departed = m_directory.departed(reported.host.host, now);
    if (reported.wantsView) {
        addView(reported.heldRevision, reply);
    }
    recipient.sentDirectoryNumber = reply.directoryNumber;
    recipient.sentRevision = reply.revision;
    send(peer, reply);
}

void source::addRollouts(const core::host_name &host,
                         const std::vector<fleet::rollout_report> &reports)
{
    if (!reports.empty()) {
        m_rollouts.addReports(host, reports, m_context.now());
    }
}

void source::passOnRollouts(const core::host_name &host,
                            const std::vector<fleet::rollout_report> &reports)
{
    const core::endpoint leader = m_log.leader();
    if (!reports.empty() && !leader.empty() && leader != m_context.settings.mesh) {
        send(leader, fleet::rollout_evidence{host, reports});
    }
}

void source::handleMessage(const core::endpoint & /*peer*/, const fleet::rollout_evidence &evidence)
{
    addRollouts(evidence.host, evidence.rollouts);
}

fleet::source_update source::revisionUpdate() const
{
    fleet::source_update update;
    update.dataCentre = m_context.settings.dataCentre;
    update.revision = m_state.view().revision;
    update.isCurrent = isCurrent();
    return update;
}

void source::addDirectory(const subscriber &recipient,
                          std::uint64_t epoch,
                          std::uint64_t number,
                          fleet::source_update &update) const
{
    fleet::directory_changes changes = hostsFor(recipient, epoch, number);
    update.directoryBase = number;
    update.isWhole = changes.isWhole;
    update.changed = std::move(changes.changed);
    update.removed = std::move(changes.removed);
    update.directoryEpoch = m_directory.epoch();
    update.directoryNumber = hostsNumberFor(recipient);
    update.hasDirectory = true;
    if (recipient.kind != subscriber_kind::Node) {
        const core::monotonic_time now = m_context.now();
        update.departedServers = update.isWhole
            ? m_directory.departed(now)
            : m_directory.departedWithin(repeatDeparturesFor, now);
    }
}

fleet::directory_changes
source::hostsFor(const subscriber &recipient, std::uint64_t epoch, std::uint64_t number) const
{
    switch (recipient.kind) {
    case subscriber_kind::OwnSource:
        return m_directory.since(epoch, number);
    case subscriber_kind::OtherSource:
        return m_exportedHosts.since(epoch, number);
    case subscriber_kind::Node:
        break;
    }
    return m_publishedHosts.since(epoch, number);
}

std::uint64_t source::hostsNumberFor(const subscriber &recipient) const
{
    switch (recipient.kind) {
    case subscriber_kind::OwnSource:
        return m_directory.number();
    case subscriber_kind::OtherSource:
        return m_exportedHosts.number();
    case subscriber_kind::Node:
        break;
    }
    return m_publishedHosts.number();
}

void source::updateHosts()
{
    const core::monotonic_time now = m_context.now();
    const std::vector<fleet::host_record> direct = m_directory.hosts();
    const auto mergedWith = [&](std::vector<fleet::host_record> others) {
        others.insert(others.end(), direct.begin(), direct.end());
        return fleet::newestOfEachHost(std::move(others));
    };
    m_exportedHosts.assign(
        mergedWith(m_remoteHosts.hostsListedIn(m_context.settings.dataCentre, now)));
    m_publishedHosts.assign(mergedWith(m_remoteHosts.hosts(now)));
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

// Changes are pushed at the next tick, so that many at a time, such as the reports of all nodes of
// a data centre that starts, cost one update for each subscriber.
void source::schedulePush()
{
    m_isPushScheduled = true;
}

void source::pushUpdates()
{
    const core::monotonic_time now = m_context.now();
    const std::uint64_t revision = m_state.view().revision;
    std::erase_if(m_subscribers, [now](const auto &each) {
        return now >= each.second.lastSeenAt + removeNodeAfter;
    });
    storeView();
    updateHosts();
    for (auto &[peer, recipient] : m_subscribers) {
        const bool needsDirectory = recipient.wantsDirectory
            && recipient.sentDirectoryNumber != hostsNumberFor(recipient);
        const bool needsRevision
            = recipient.kind == subscriber_kind::Node && recipient.sentRevision != revision;
        if ((!needsRevision && !needsDirectory) || m_transport.isCongested(peer)) {
            continue;
        }
        fleet::source_update outgoing = revisionUpdate();
        if (recipient.wantsDirectory) {
            addDirectory(recipient, m_directory.epoch(), recipient.sentDirectoryNumber, outgoing);
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
    const bool isExpired = m_directory.expire(now);
    if (m_remoteHosts.refresh(now) || isExpired) {
        schedulePush();
    }
    if (std::exchange(m_isPushScheduled, false)) {
        pushUpdates();
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
    for (const fleet::host_record &host : m_publishedHosts.hosts()) {
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

void source::handleMessage(const core::endpoint &peer, const fleet::source_update &update)
{
    const core::monotonic_time now = m_context.now();
    const bool areDeparturesNew = m_directory.addDeparted(update.departedServers, now);
    if (m_remoteHosts.apply(peer, update, now) || areDeparturesNew) {
        schedulePush();
    }
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
