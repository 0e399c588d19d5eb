// Announces a stand-in backend server to the node of its host until it is stopped.

#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "jackdawweir/core/names.h"
#include "jackdawweir/membership/backend_server.h"

namespace jackdawweir::stand_in {

class announcer
{
public:
    // Starts announcing. `node` is the operators endpoint of the host's node.
    announcer(core::endpoint node, membership::backend_server announced);
    ~announcer();
    announcer(const announcer &) = delete;
    announcer &operator=(const announcer &) = delete;

    // Stops announcing and withdraws the server.
    void withdraw();

private:
    void run();

    core::endpoint m_node;
    membership::backend_server m_announced;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace jackdawweir::stand_in
