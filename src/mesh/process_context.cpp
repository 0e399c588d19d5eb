#include "jackdawweir/mesh/process_context.h"

#include <array>
#include <memory>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>

#include "jackdawweir/observe/log.h"

namespace jackdawweir::mesh {

namespace {

struct repeating_task {
    boost::asio::steady_timer timer;
    std::chrono::milliseconds interval;
    std::function<void()> function;
};

void schedule(const std::shared_ptr<repeating_task> &task)
{
    task->timer.expires_after(task->interval);
    task->timer.async_wait([task](const boost::system::error_code &failure) {
        if (!failure) {
            task->function();
            schedule(task);
        }
    });
}

} // namespace

process_context::process_context(mesh_settings initialSettings)
    : settings(std::move(initialSettings))
    , memory(std::make_shared<core::memory_budget>(settings.callerBounds.heldBytes))
    , callerGuard(loop, memory, [this](const auto &shed) { recordShedCaller(shed); })
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

http::listener_settings process_context::listenerSettings(std::size_t maxConnections)
{
    http::listener_settings listening;
    listening.maxConnections = maxConnections;
    listening.guard = &callerGuard;
    return listening;
}

void process_context::recordShedCaller(const http::shed_caller &shed)
{
    processMetrics.countShedCaller(shed.reason);
    if (!shedLimiter.tryTake(now())) {
        return;
    }
    record(event("caller-shed")
               .level(observe::log_level::Warning)
               .step("receive")
               .field("reason", http::toString(shed.reason))
               .field("bytes", std::to_string(shed.bytes))
               .field("held-bytes", std::to_string(memory->used()))
               .field("limit-bytes", std::to_string(memory->limit()))
               .field("suppressed", std::to_string(shedLimiter.takeSuppressed()))
               .build());
}

observe::event_builder process_context::event(std::string name)
{
    observe::event_builder builder(std::move(name), hybridClock.next(clock.wallNow()));
    builder.host(settings.host, settings.dataCentre);
    builder.version(core::config_version{0, policyInForce, {}});
    return builder;
}

void process_context::record(const observe::event &loggedEvent)
{
    observe::logEvent(loggedEvent);
}

void process_context::recordError(std::string name, const core::error &failure)
{
    record(event(std::move(name)).failure(failure).build());
}

void process_context::recordLogEvent(const agreement::log_event &logged)
{
    observe::event_builder builder = event(logged.name);
    agreement::describeEvent(logged, builder);
    record(builder.build());
}

void process_context::recordTraffic(const transport::mesh_transport &links)
{
    observe::event_builder builder = event("mesh-traffic");
    builder.step("count");
    constexpr std::array<std::pair<wire::channel, const char *>, 3> purposes{
        {{wire::channel::Agreement, "agreement"},
         {wire::channel::Fleet, "fleet"},
         {wire::channel::Forwarding, "forwarding"}}};
    for (const auto &[purpose, name] : purposes) {
        const transport::channel_bytes &bytes = links.bytes(purpose);
        builder.field(absl::StrCat(name, "-sent"), std::to_string(bytes.sent.load()));
        builder.field(absl::StrCat(name, "-received"), std::to_string(bytes.received.load()));
    }
    record(builder.build());
}

void process_context::recordLostLink(const transport::lost_link &lost)
{
    if (!lost.wasConnected) {
        processMetrics.countFailedConnection();
        return;
    }
    processMetrics.countLostLink();
    record(event("link-lost")
               .peer(lost.peer.value)
               .step("link")
               .field("opened-by", lost.wasAccepted ? "peer" : "self")
               .field("silent-ms", std::to_string(lost.silentFor.count()))
               .field("queued-bytes", std::to_string(lost.queuedBytes))
               .field("reason", lost.reason)
               .build());
}

void process_context::runEvery(std::chrono::milliseconds interval, std::function<void()> function)
{
    schedule(std::make_shared<repeating_task>(
        repeating_task{boost::asio::steady_timer(loop), interval, std::move(function)}));
}

} // namespace jackdawweir::mesh
