#include "jackdawweir/mesh/source.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include "jackdawweir/mesh/replica_timing.h"
#include "jackdawweir/storage/file_store.h"
#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/compression.h"
#include "mesh/source_commands.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval{20};
constexpr milliseconds helloInterval{500};
constexpr milliseconds decideInterval{100};

// The interval of hellos that contain the list of sources, in hellos.
constexpr std::uint64_t hellosPerList = 4;

// Commands are accepted only with this many voters, since with fewer an accepted command could be
// lost with one disk.
constexpr std::size_t minVoters = 3;

policy::rollout_limits rolloutLimits(const mesh_settings &settings)
{
    policy::rollout_limits limits;
    limits.exposureFraction = settings.rolloutExposureRatio;
    limits.exposureMargin = settings.rolloutExposureAllowance;
    return limits;
}

quota::quota_settings quotaSettings(const mesh_settings &settings)
{
    quota::quota_settings quotas;
    quotas.margin = settings.quotaMargin;
    return quotas;
}

fleet::fleet_view_settings remoteHostSettings()
{
    fleet::fleet_view_settings settings;
    // Hosts that no reachable source lists are not published: they may be gone.
    settings.keepsLastHosts = false;
    return settings;
}

// Returns a function that opens a folder below the data folder.
storage::store_opener filesIn(const mesh_settings &settings, const char *folder)
{
    return [path = absl::StrCat(settings.source->dataFolder, folder)] {
        return storage::openFileStore(path);
    };
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
    , m_departureStore(filesIn(context.settings, "/departures"))
    , m_rollouts(rolloutLimits(context.settings))
    , m_quota(quotaSettings(context.settings))
{
}

agreement::replicated_log_settings source::logSettings() const
{
    agreement::replicated_log_settings settings;
    settings.openFiles = filesIn(m_context.settings, "/agreement");
    settings.replica = replicaTiming();
    settings.replica.address = m_context.settings.mesh;
    settings.replica.sourceAddresses = m_context.settings.sources;
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
        m_context.policyInForce = m_state.view().policy.number;
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
    m_transport.setBudget(m_context.memory);
    core::status started
        = m_transport.startAt(m_context.settings.meshListen.value_or(m_context.settings.mesh));
    if (core::errorIn(started) == nullptr) {
        started = m_log.open();
    }
    if (core::errorIn(started) != nullptr) {
        return started;
    }
    loadDepartures();
    m_transport.onLinkLost(
        [this](const transport::lost_link &lost) { m_context.recordLostLink(lost); });
    applySettings();
    const mesh_settings &meshSettings = m_context.settings;
    // The initial settings of all sources name the same sources, so only one source ever makes
    // itself the first voter, and two separate groups of voters never form.
    const auto first = std::min_element(meshSettings.sources.begin(), meshSettings.sources.end());
    const bool isFirst = first != meshSettings.sources.end() && *first == meshSettings.mesh;
    m_mustInitialise = meshSettings.source->bootstrap && isFirst;
    core::status initialised = initialiseIfRequired();
    if (core::errorIn(initialised) != nullptr) {
        return initialised;
    }
    m_context.runEvery(tickInterval, [this] { tick(); });
    m_context.runEvery(helloInterval, [this] {
        (void)initialiseIfRequired();
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
    m_context.runEvery(quota::quota_settings().reportInterval, [this] { exchangeUsage(); });
    m_context.runEvery(process_context::counterLogInterval,
                       [this] { m_context.recordTraffic(m_transport); });
    sendHellos(true);
    return core::okStatus();
}

// Repeated while the files of the log can't be written, since the disk may be full at the start.
core::status source::initialiseIfRequired()
{
    if (!m_mustInitialise) {
        return core::okStatus();
    }
    core::status initialised = m_log.init();
    const core::error *failure = core::errorIn(initialised);
    m_mustInitialise = failure != nullptr && failure->code == core::error_code::Unavailable;
    if (m_mustInitialise) {
        m_context.recordError("init-failed", *failure);
    }
    const bool isMember = failure != nullptr && failure->code == core::error_code::Conflict;
    return m_mustInitialise || isMember ? core::okStatus() : initialised;
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

void source::tick()
{
    const core::monotonic_time now = m_context.now();
    m_log.tick(now);
    recordContact();
    const bool isExpired = m_directory.expire(now);
    if (m_remoteHosts.refresh(now) || isExpired) {
        schedulePush();
    }
    if (std::exchange(m_isPushScheduled, false)) {
        pushUpdates();
    }
    scheduleDepartureStore();
    storeDepartureCompleteness();
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
    m_context.policyInForce = m_state.view().policy.number;
    m_awaitedRevisions.reached(m_state.view().revision);
    for (const policy::rollout &each : m_state.view().rollouts) {
        // An entry of before this start is applied late, from the log or from the leader.
        if (each.id == committed.index && each.orderedAt >= m_context.startedAt()) {
            m_rollouts.recordStart(each.id, m_context.now());
        }
    }
    m_context.record(m_context.event("state-changed")
                         .step("commit")
                         .field("revision", std::to_string(m_state.view().revision))
                         .field("policy", std::to_string(m_state.view().policy.number))
                         .field("evacuated", std::to_string(m_state.view().evacuated.size()))
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

void source::updateGauges()
{
    m_context.processMetrics.setRevision(m_state.view().revision, m_state.view().policy.number);
    m_context.processMetrics.setLimitedWorkspaces(m_quota.limitedWorkspaces());
    m_context.processMetrics.setEvacuated(m_state.view().evacuated.size());
}

core::wall_time source::wallNow() const
{
    return m_context.clock.wallNow();
}

} // namespace jackdawweir::mesh
