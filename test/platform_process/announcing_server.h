// The announcements of one backend server, which follows the address that a response names for the
// next ones, and returns to the configured address of its node once a call there fails.
//
//     announcing_server server(fleet, 2, {"i-stock", "stock", "127.0.0.1:4000"});
//     server.announce("ready");
//     server.deliver({sequence, "ready"});

#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "platform_process/mesh_fleet.h"

namespace jackdawweir::platform_process_test {

struct announced_server {
    std::string instance;
    std::string service;
    std::string address;
    // The Unix time of the start.
    std::int64_t startedAtMillis = 1'700'000'000'000;
};

// What changes from one announcement of a server to the next.
struct announced_state {
    int sequence = 0;
    std::string phase;
};

class announcing_server
{
public:
    announcing_server(const mesh_fleet &fleet, int node, announced_server announced)
        : m_fleet(fleet)
        , m_node(node)
        , m_announced(std::move(announced))
    {
    }

    // Starts the server again: its sequence numbers start anew.
    void restart(announced_server announced)
    {
        m_announced = std::move(announced);
        m_sequence = 0;
    }

    // Sends the next announcement of the running server.
    call_response announce(const std::string &phase)
    {
        const announced_state state{takeSequence(), phase};
        call_response response;
        if (!m_nextIp.empty()) {
            response = deliverAt(m_nextIp, state);
        }
        if (response.status != 200) {
            m_nextIp.clear();
            response = deliver(state);
        }
        const std::string named = addressIn(response.body);
        if (!named.empty()) {
            m_nextIp = named;
        }
        return response;
    }

    // Takes the sequence number of an announcement that is delivered later.
    int takeSequence()
    {
        return ++m_sequence;
    }

    // Delivers an announcement at the configured address of the node, at any time after it was
    // sent.
    call_response deliver(const announced_state &state) const
    {
        return deliverAt(m_fleet.nodeIp(m_node), state);
    }

    // Returns the IP address that the last response named for the next announcements, or an empty
    // text if there is none.
    const std::string &nextIp() const
    {
        return m_nextIp;
    }

private:
    call_response deliverAt(const std::string &ip, const announced_state &state) const
    {
        return m_fleet.announceAt(ip,
                                  m_announced.instance,
                                  m_announced.service,
                                  m_announced.address,
                                  state.sequence,
                                  state.phase,
                                  m_announced.startedAtMillis);
    }

    // Returns the IP address in a response such as {"heartbeatUrl":"127.4.5.6:17506"}.
    static std::string addressIn(const std::string &body)
    {
        const std::string field = R"("heartbeatUrl":")";
        const std::size_t found = body.find(field);
        if (found == std::string::npos) {
            return "";
        }
        const std::size_t begin = found + field.size();
        return body.substr(begin, body.find(':', begin) - begin);
    }

    const mesh_fleet &m_fleet;
    int m_node;
    announced_server m_announced;
    int m_sequence = 0;
    std::string m_nextIp;
};

} // namespace jackdawweir::platform_process_test
