// Runs configuration distribution on a node: its subscriber and, on a relay, the relay state
// machine. Performs the effects that the two return.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "daemon/process_context.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/distribution/relay.h"
#include "jackdawweir/distribution/subscriber.h"

namespace jackdawweir::daemon {

struct distribution_observer {
    std::function<void(const std::shared_ptr<const document::configuration> &)> activated;
    std::function<void(const std::string &reason)> refused;
};

// Used only on the node's loop.
class node_distribution
{
public:
    node_distribution(process_context &context,
                      const distribution::distribution_settings &settings,
                      mesh_send send,
                      distribution_observer observer);

    void handle(const core::endpoint &peer,
                const distribution::message &received,
                core::monotonic_time now);
    void tick(core::monotonic_time now);

private:
    void perform(const distribution::effects &wanted);
    void perform(const distribution::send_message &wanted);
    void perform(const distribution::hold_configuration &wanted);
    void perform(const distribution::activate_configuration &wanted);
    void perform(const distribution::refuse_service &wanted);
    void perform(const distribution::confirm_read &wanted);
    void perform(const distribution::report_error &wanted);
    void perform(const distribution::log_event &wanted);

    process_context &m_context;
    mesh_send m_send;
    distribution_observer m_observer;
    core::random_engine m_engine;
    distribution::subscriber m_subscriber;
    std::optional<distribution::relay> m_relay;
    // The newest configuration received and the time of its receipt.
    core::config_version m_heldVersion;
    core::monotonic_time m_heldAt;
};

} // namespace jackdawweir::daemon
