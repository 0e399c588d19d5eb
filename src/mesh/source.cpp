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
constexpr milliseconds greetInterval{500};
constexpr milliseconds decideInterval{100};

// A source that is silent for this long is forgotten, unless settings name it.
constexpr milliseconds forgetSourceAfter{30'000};

// A node that is silent for this long gets no more updates.
constexpr milliseconds forgetNodeAfter{5'000};

// A node that is further behind gets the whole view.
constexpr std::size_t viewsKept = 16;

// Operators move on after a second without a response.
constexpr milliseconds callTimeout{850};

// Sources of one region answer within a few milliseconds and sync within tens. A process whose
// share of a core is used up pauses for a tenth of a second, which must not look like a lost
// leader.
constexpr milliseconds heartbeatInterval{80};
constexpr milliseconds electionTimeout{400};
constexpr milliseconds leaseDuration{300};

// A source reads its log at the start, on a part of a core, while every node waits for it.
constexpr std::uint64_t entriesBeforeSnapshot = 24;
constexpr std::size_t bytesBeforeSnapshot = 1U << 20U;

// A source whose host is gone for good leaves the voters after this, so that the next loss finds a
// majority. Longer than the cuts and freezes of an ordinary day.
constexpr milliseconds removeSilentAfter{8'000};

// Before this many voters hold the log, an accepted order could be lost with one disk.
constexpr std::size_t leastVoters = 3;

// Commands hold a whole policy, which compresses to a tenth and goes to every other source.
std::string encodeCommand(const policy::command &command)
{
    return wire::compress(wire::encode(command));
}

// The directories of two starts of one source differ in this number.
std::uint64_t epochOf(const process &shared)
{
    return shared.incarnation;
}

} // namespace

source::source(process &shared)
    : m_process(shared)
    , m_transport(shared.loop,
                  shared.settings.mesh,
                  shared.clock,
                  shared.hybridClock,
                  [this](const transport::received_message &received) { dispatch(received); })
    , m_log(logSettings(), shared.clock, logHooks())
    , m_directory(fleet::directory_settings{}, epochOf(shared))
{
}

agreement::replicated_log_settings source::logSettings() const
{
    agreement::replicated_log_settings settings;
    settings.folder = absl::StrCat(m_process.settings.source->dataFolder, "/agreement");
    settings.replica.address = m_process.settings.mesh;
    settings.replica.sourceAddresses = m_process.settings.sources;
    settings.replica.heartbeatInterval = heartbeatInterval;
    settings.replica.electionTimeout = electionTimeout;
    settings.replica.leaseDuration = leaseDuration;
    settings.replica.bootNoticeInterval = heartbeatInterval;
    settings.replica.entriesBeforeSnapshot = entriesBeforeSnapshot;
    settings.replica.bytesBeforeSnapshot = bytesBeforeSnapshot;
    settings.replica.removeUnreachableAfter = removeSilentAfter;
    settings.replica.minVotersKept = leastVoters;
    return settings;
}

agreement::replicated_log_hooks source::logHooks()
{
    agreement::replicated_log_hooks hooks;
    hooks.send = [this](const core::endpoint &to, const agreement::message &sent) {
        m_transport.send(to, wire::channel::Agreement, wire::encode(sent));
    };
    hooks.post = [this](std::function<void()> function) {
        boost::asio::post(m_process.loop, std::move(function));
    };
    hooks.apply = [this](const agreement::entry &committed) {
        apply(committed);
    };
    hooks.encodeState = [this] {
        return m_state.encode();
    };
    hooks.restoreState = [this](std::string_view state, std::uint64_t) {
        core::status restored = m_state.restore(state);
        pushSoon();
        return restored;
    };
    hooks.resetState = [this] {
        m_state = policy::policy_state();
        m_views.clear();
    };
    hooks.leadershipChanged = [this](bool leads) {
        m_process.record(m_process.event(leads ? "leadership-gained" : "leadership-lost")
                             .step("agreement")
                             .field("term", std::to_string(m_log.term()))
                             .build());
    };
    hooks.recordEvent = [this](const agreement::log_event &noticed) {
        m_process.recordNotice(noticed);
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
    const mesh_settings &read = m_process.settings;
    // All first settings name the same sources, so only one source ever makes itself the first
    // voter and two groups never form.
    const auto first = std::min_element(read.sources.begin(), read.sources.end());
    const bool isFirst = first != read.sources.end() && *first == read.mesh;
    if (read.source->bootstrap && isFirst) {
        core::status formed = m_log.init();
        const core::error *failure = core::errorIn(formed);
        if (failure != nullptr && failure->code != core::error_code::Conflict) {
            return formed;
        }
    }
    m_process.every(tickInterval, [this] { tick(); });
    m_process.every(greetInterval, [this] {
        updateSources();
        greetSources();
    });
    m_process.every(decideInterval, [this] {
        if (!m_log.leads()) {
            return;
        }
        establishVersions();
        for (const policy::advance_rollout &each : m_rollouts.decide(
                 m_state.view(), m_directory.hosts(), m_process.now(), m_process.clock.wallNow())) {
            m_process.record(m_process.event("rollout-decided")
                                 .step("decide")
                                 .field("service", each.service.value)
                                 .field("rollout", std::to_string(each.id))
                                 .field("phase", policy::toString(each.phase))
                                 .field("share", std::to_string(each.share))
                                 .field("reason", each.reason)
                                 .build());
            m_log.propose(encodeCommand(each), [](const core::result<agreement::log_position> &) {
                // The driver repeats a decision until it sees its result.
            });
        }
    });
    m_process.every(process::countsInterval, [this] { m_process.recordTraffic(m_transport); });
    greetSources();
    return core::okStatus();
}

void source::applySettings()
{
    for (auto &[endpoint, known] : m_sources) {
        known.isConfigured = false;
    }
    for (const core::endpoint &each : m_process.settings.sources) {
        m_sources[each].isConfigured = true;
    }
    updateSources();
}

void source::updateSources()
{
    const core::monotonic_time now = m_process.now();
    std::erase_if(m_sources, [&](const auto &each) {
        return !each.second.isConfigured && now >= each.second.heardAt + forgetSourceAfter;
    });
    m_log.setSourceAddresses(knownSources());
}

std::vector<core::endpoint> source::knownSources() const
{
    std::vector<core::endpoint> listed{m_process.settings.mesh};
    for (const auto &[endpoint, known] : m_sources) {
        if (endpoint != m_process.settings.mesh) {
            listed.push_back(endpoint);
        }
    }
    return listed;
}

void source::greetSources()
{
    for (const core::endpoint &each : knownSources()) {
        if (each != m_process.settings.mesh) {
            send(each, fleet::source_hello{knownSources(), m_directory.departed(m_process.now())});
        }
    }
}

void source::dispatch(const transport::received_message &received)
{
    if (received.target == wire::channel::Agreement) {
        if (const auto decoded = m_process.decode<agreement::message>(received)) {
            m_log.handle(*decoded, m_process.now());
        }
    } else if (const auto decoded = m_process.decode<fleet::message>(received)) {
        std::visit([&](const auto &body) { take(received.from, body); }, *decoded);
    }
}

void source::send(const core::endpoint &peer, const fleet::message &sent)
{
    m_transport.send(peer, wire::channel::Fleet, wire::encode(sent));
}

void source::take(const core::endpoint &peer, const fleet::source_hello &hello)
{
    const core::monotonic_time now = m_process.now();
    const bool isNew = !m_sources.contains(peer);
    m_sources[peer].heardAt = now;
    if (m_directory.addDeparted(hello.departed, now)) {
        pushSoon();
    }
    for (const core::endpoint &each : hello.sources) {
        // Known by hearsay until it greets, which it will when it is greeted.
        m_sources.try_emplace(each, known_source{now, false});
    }
    if (isNew) {
        m_process.record(m_process.event("source-heard").peer(peer.value).step("greet").build());
        updateSources();
        greetSources();
    }
}

void source::take(const core::endpoint &peer, const fleet::host_report &reported)
{
    const core::monotonic_time now = m_process.now();
    subscriber &told = m_subscribers[peer];
    told.heardAt = now;
    m_rollouts.report(reported.host.host, reported.rollouts, now);
    if (m_directory.report(reported.host, reported.departed, now)) {
        m_process.record(m_process.event("host-changed")
                             .peer(peer.value)
                             .step("report")
                             .field("reported-host", reported.host.host.value)
                             .field("servers", std::to_string(reported.host.servers.size()))
                             .field("leaving", reported.host.isLeaving ? "true" : "false")
                             .build());
        pushSoon();
    }
    told.wantsDirectory = reported.wantsDirectory;
    fleet::source_update answer = revisionUpdate();
    if (reported.wantsDirectory) {
        addDirectory(reported.directoryEpoch, reported.directoryNumber, answer);
    }
    answer.sources = knownSources();
    answer.departed = m_directory.departed(reported.host.host, now);
    if (reported.wantsView) {
        addView(reported.heldRevision, answer);
    }
    told.toldNumber = answer.directoryNumber;
    told.toldRevision = answer.revision;
    send(peer, answer);
}

fleet::source_update source::revisionUpdate() const
{
    fleet::source_update update;
    update.dataCentre = m_process.settings.dataCentre;
    update.revision = m_state.view().revision;
    return update;
}

void source::addDirectory(std::uint64_t epoch,
                          std::uint64_t number,
                          fleet::source_update &update) const
{
    fleet::directory_changes news = m_directory.since(epoch, number);
    update.isWhole = news.isWhole;
    update.changed = std::move(news.changed);
    update.removed = std::move(news.removed);
    update.directoryEpoch = m_directory.epoch();
    update.directoryNumber = m_directory.number();
    update.hasDirectory = true;
}

void source::rememberView()
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
    rememberView();
    if (m_views.empty() || heldRevision >= m_views.back().revision) {
        return;
    }
    if (m_viewChangesTo != m_views.back().revision) {
        m_viewChangesTo = m_views.back().revision;
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

void source::pushSoon()
{
    if (std::exchange(m_isPushPosted, true)) {
        return;
    }
    boost::asio::post(m_process.loop, [this] {
        m_isPushPosted = false;
        push();
    });
}

void source::push()
{
    const core::monotonic_time now = m_process.now();
    const std::uint64_t revision = m_state.view().revision;
    std::erase_if(m_subscribers,
                  [now](const auto &each) { return now >= each.second.heardAt + forgetNodeAfter; });
    rememberView();
    for (auto &[peer, told] : m_subscribers) {
        const bool needsDirectory = told.wantsDirectory && told.toldNumber != m_directory.number();
        if (told.toldRevision == revision && !needsDirectory) {
            continue;
        }
        fleet::source_update sent = revisionUpdate();
        if (told.wantsDirectory) {
            addDirectory(m_directory.epoch(), told.toldNumber, sent);
            told.toldNumber = sent.directoryNumber;
        }
        told.toldRevision = sent.revision;
        send(peer, sent);
    }
}

void source::tick()
{
    const core::monotonic_time now = m_process.now();
    m_log.tick(now);
    if (m_directory.expire(now)) {
        pushSoon();
    }
    failOverdueCalls();
}

void source::apply(const agreement::entry &committed)
{
    const std::uint64_t before = m_state.view().revision;
    const core::result<std::string> command = wire::decompress(committed.payload);
    if (const core::error *failure = core::errorIn(command)) {
        m_process.recordError("command-refused", *failure);
        m_applied = policy::command_result();
        return;
    }
    const core::result<policy::command_result> outcome
        = m_state.applyEncoded(core::valueIn(command), committed.index);
    if (const core::error *failure = core::errorIn(outcome)) {
        m_process.recordError("command-refused", *failure);
        m_applied = policy::command_result();
        return;
    }
    m_applied = core::valueIn(outcome);
    if (m_state.view().revision == before) {
        return;
    }
    for (const policy::rollout &each : m_state.view().rollouts) {
        if (each.id == committed.index) {
            m_rollouts.begun(each.id, m_process.now());
        }
    }
    m_process.record(m_process.event("state-changed")
                         .step("commit")
                         .field("revision", std::to_string(m_state.view().revision))
                         .field("policy", std::to_string(m_state.view().policy.number))
                         .build());
    pushSoon();
}

bool source::mayAccept() const
{
    const std::size_t wanted = std::min(leastVoters, m_process.settings.sources.size());
    return m_log.leads() && m_log.members().voters().size() >= wanted;
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

void source::order(const policy::command &wanted, order_handler done)
{
    if (const auto *change = std::get_if<policy::replace_policy>(&wanted)) {
        // What was accepted stays accepted, whoever is asked.
        if (const std::optional<policy::command_result> first = m_state.findAccepted(*change)) {
            done(first);
            return;
        }
    }
    if (m_log.leads()) {
        decideHere(encodeCommand(wanted), timed(m_orders, std::move(done)));
        return;
    }
    askLeader(m_orders, std::move(done), [&](std::uint64_t number) {
        return fleet::order_request{number, encodeCommand(wanted)};
    });
}

// Returns a handler that ends the call unless its time is over before: without a majority a leader
// decides nothing, and may not learn for seconds that it leads no more.
template<typename Handler>
Handler source::timed(waiting_calls<Handler> &waiting, Handler done)
{
    const std::uint64_t number = ++m_lastNumber;
    waiting[number] = {std::move(done), m_process.now() + callTimeout};
    return [&waiting, number](const auto &outcome) {
        auto found = waiting.extract(number);
        if (!found.empty()) {
            found.mapped().done(outcome);
        }
    };
}

// Sends a call to the source that leads; the reply, or its absence, ends it.
template<typename Handler, typename MakeCall>
void source::askLeader(waiting_calls<Handler> &waiting, Handler done, const MakeCall &makeCall)
{
    const core::endpoint leader = m_log.leader();
    if (leader.empty() || leader == m_process.settings.mesh) {
        done(std::nullopt);
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    waiting[number] = {std::move(done), m_process.now() + callTimeout};
    send(leader, makeCall(number));
}

void source::decideHere(std::string encoded, order_handler done)
{
    if (!mayAccept()) {
        done(std::nullopt);
        return;
    }
    m_log.propose(
        std::move(encoded),
        [this, done = std::move(done)](const core::result<agreement::log_position> &decided) {
            if (const core::error *failure = core::errorIn(decided)) {
                m_process.recordError("order-undecided", *failure);
                done(std::nullopt);
                return;
            }
            done(m_applied);
        });
}

void source::read(view_handler done)
{
    if (m_log.leads()) {
        readHere(timed(m_reads, std::move(done)));
        return;
    }
    askLeader(
        m_reads, std::move(done), [](std::uint64_t number) { return fleet::view_request{number}; });
}

void source::measure()
{
    m_process.counted.setRevision(m_state.view().revision, m_state.view().policy.number);
}

core::wall_time source::wallNow() const
{
    return m_process.clock.wallNow();
}

void source::readHere(view_handler done)
{
    m_log.confirmRead([this, done = std::move(done)](const core::status &confirmed) {
        if (const core::error *failure = core::errorIn(confirmed)) {
            m_process.recordError("read-unconfirmed", *failure);
            done(std::nullopt);
            return;
        }
        done(m_state.view());
    });
}

void source::take(const core::endpoint &peer, const fleet::order_request &asked)
{
    decideHere(
        asked.order,
        [this, peer, number = asked.number](const std::optional<policy::command_result> &result) {
            send(peer, fleet::order_reply{number, result});
        });
}

void source::take(const core::endpoint & /*peer*/, const fleet::order_reply &answer)
{
    auto found = m_orders.extract(answer.number);
    if (!found.empty()) {
        found.mapped().done(answer.result);
    }
}

void source::take(const core::endpoint &peer, const fleet::view_request &asked)
{
    readHere([this, peer, number = asked.number](const std::optional<policy::policy_view> &view) {
        send(peer, fleet::view_reply{number, view});
    });
}

void source::take(const core::endpoint & /*peer*/, const fleet::view_reply &answer)
{
    auto found = m_reads.extract(answer.number);
    if (!found.empty()) {
        found.mapped().done(answer.view);
    }
}

void source::take(const core::endpoint &peer, const fleet::source_update & /*update*/)
{
    m_process.recordError(
        "message-refused",
        core::error{
            core::error_code::InvalidArgument, "update", peer.value, "a source gets no updates"});
}

void source::failOverdueCalls()
{
    const core::monotonic_time now = m_process.now();
    const auto failOverdue = [now](auto &calls) {
        for (auto each = calls.begin(); each != calls.end();) {
            if (now < each->second.deadline) {
                ++each;
                continue;
            }
            const auto done = std::move(each->second.done);
            each = calls.erase(each);
            done(std::nullopt);
        }
    };
    failOverdue(m_orders);
    failOverdue(m_reads);
}

} // namespace jackdawweir::mesh
