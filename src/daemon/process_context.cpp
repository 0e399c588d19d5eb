#include "daemon/process_context.h"

#include <utility>

#include "jackdawweir/observe/log.h"

namespace jackdawweir::daemon {

process_context::process_context(settings::daemon_settings daemonSettings)
    : settings(std::move(daemonSettings))
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

observe::event_builder process_context::event(std::string name)
{
    observe::event_builder builder(std::move(name), hybridClock.next(clock.wallNow()));
    builder.host(settings.host, settings.dataCentre);
    return builder;
}

void process_context::record(const observe::event &recorded)
{
    observe::logEvent(recorded);
    timeline.add(recorded);
}

observe::event process_context::eventOf(const agreement::log_event &loggedEvent)
{
    observe::event_builder builder = event(loggedEvent.name);
    agreement::describeEvent(loggedEvent, builder);
    return builder.build();
}

void process_context::recordError(std::string name, const core::error &failure)
{
    record(event(std::move(name)).failure(failure).build());
}

} // namespace jackdawweir::daemon
