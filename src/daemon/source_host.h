// A source: one replica of the replicated log, and the components that depend on it. These are the
// publisher, the ledger replica, the move controller and the handlers of operators' requests.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/control_messages.h"
#include "daemon/event_loop.h"
#include "daemon/mesh_bytes.h"
#include "daemon/process_context.h"
#include "daemon/source_ledger.h"
#include "daemon/source_log.h"
#include "daemon/source_moves.h"
#include "jackdawweir/distribution/publisher.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::daemon {

// The state of a source as shown to operators.
struct source_status {
    bool leads = false;
    core::endpoint leader;
    core::config_version version;
};

class source_host
{
public:
    explicit source_host(process_context &context);
    ~source_host();
    source_host(const source_host &) = delete;
    source_host &operator=(const source_host &) = delete;

    // Errors: Unavailable if the data folder or the address cannot be used.
    core::status start();
    void shutDown();

    // The functions below are thread-safe; each waits for the loop.
    source_status status();
    core::status init();

private:
    void send(const core::endpoint &peer, wire::channel target, const std::string &payload);
    void dispatch(const transport::received_message &received);
    void reply(const core::endpoint &peer, const control_message &answer);
    not_leader notLeaderReply(std::uint64_t requestId) const;

    void handleMessage(const core::endpoint &peer, const submit_request &request);
    void handleMessage(const core::endpoint &peer, const state_request &request);
    void handleMessage(const core::endpoint &peer, const ledger_admission_request &request);
    void handleMessage(const core::endpoint &peer, const ledger_admission_reply &answer);
    template<typename Other>
    void handleMessage(const core::endpoint &, const Other &);

    core::result<source::submit_command> commandOf(const submit_request &request) const;
    void performEffects(const distribution::effects &wanted);
    void perform(const distribution::effect &wanted);
    void publishState();
    void tick();

    process_context &m_context;
    event_loop m_loop;
    transport::mesh_transport m_transport;
    distribution::publisher m_publisher;
    source_log m_log;
    source_ledger m_ledger;
    source_moves m_moves;
    exported_bytes m_exportedBytes;
};

} // namespace jackdawweir::daemon
