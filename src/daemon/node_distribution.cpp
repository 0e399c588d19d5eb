#include "daemon/node_distribution.h"

#include <random>
#include <utility>
#include <variant>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

node_distribution::node_distribution(process_context &context,
                                     const distribution::distribution_settings &settings,
                                     mesh_send send,
                                     distribution_observer observer)
    : m_context(context)
    , m_send(std::move(send))
    , m_observer(std::move(observer))
    , m_engine(std::random_device()())
    , m_subscriber(settings, m_engine)
{
    if (settings.isRelay()) {
        m_relay.emplace(settings, m_engine);
    }
}

void node_distribution::handle(const core::endpoint &peer,
                               const distribution::message &received,
                               core::monotonic_time now)
{
    // The relay handles requests and the subscriber handles replies; each ignores the messages of
    // the other.
    if (m_relay) {
        perform(m_relay->handle(peer, received, now));
    }
    perform(m_subscriber.handle(peer, received, now));
}

void node_distribution::tick(core::monotonic_time now)
{
    if (m_relay) {
        perform(m_relay->tick(now));
    }
    perform(m_subscriber.tick(now));
}

void node_distribution::perform(const distribution::effects &wanted)
{
    for (const distribution::effect &each : wanted) {
        std::visit([this](const auto &effect) { perform(effect); }, each);
    }
}

void node_distribution::perform(const distribution::send_message &wanted)
{
    m_send(wanted.peer, wire::channel::Distribution, wire::encode(wanted.body));
}

void node_distribution::perform(const distribution::hold_configuration &wanted)
{
    m_heldVersion = wanted.version;
    m_heldAt = m_context.clock.monotonicNow();
    if (m_relay) {
        perform(m_relay->hold(wanted.version, wanted.resources, m_context.clock.monotonicNow()));
    }
}

void node_distribution::perform(const distribution::activate_configuration &wanted)
{
    m_observer.activated(wanted.activated);
    if (wanted.activated->version == m_heldVersion) {
        m_context.metrics.observeConvergence(std::chrono::duration_cast<std::chrono::milliseconds>(
            m_context.clock.monotonicNow() - m_heldAt));
    }
}

void node_distribution::perform(const distribution::refuse_service &wanted)
{
    m_observer.refused(distribution::toString(wanted.reason));
}

void node_distribution::perform(const distribution::confirm_read &)
{
    // Only sources confirm reads.
}

void node_distribution::perform(const distribution::report_error &wanted)
{
    m_context.recordError("distribution-error", wanted.failure);
}

void node_distribution::perform(const distribution::log_event &wanted)
{
    m_context.record(m_context.event("distribution")
                         .step(wanted.step)
                         .peer(wanted.peer.value)
                         .version(wanted.version)
                         .build());
}

} // namespace jackdawweir::daemon
