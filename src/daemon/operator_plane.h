// Implements the control plane interface of this daemon's console.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "daemon/node.h"
#include "daemon/process_context.h"
#include "daemon/source_host.h"
#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::daemon {

class operator_plane final : public console::control_plane
{
public:
    // `source` is nullptr on a host without a source. `beginDrain` starts the graceful shutdown.
    operator_plane(process_context &context,
                   node &localNode,
                   source_host *source,
                   std::function<void()> beginDrain);

    console::submission_outcome submit(const console::submission &submitted) override;
    core::result<console::current_document> currentDocument() override;
    core::result<std::vector<console::history_entry>> history() override;
    core::result<std::vector<document::move_state>> moves() override;
    console::process_status status() override;
    std::string timelineLines() override;
    core::status drain() override;
    core::status init() override;
    core::status announce(const membership::backend_server &announced) override;
    core::status withdraw(const core::endpoint &address, std::uint64_t incarnation) override;
    std::string metricsText() override;
    core::wall_time now() const override;

private:
    process_context &m_context;
    node &m_node;
    source_host *m_source;
    std::function<void()> m_beginDrain;
};

} // namespace jackdawweir::daemon
