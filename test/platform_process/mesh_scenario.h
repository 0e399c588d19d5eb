// Steps that tests with a real mesh share: a mesh with the services "desk" and "stock", its
// configuration, and what a caller of it gets.
//
//     mesh_fleet fleet(1);
//     serve(fleet, desk, stock);
//     awaitBody(fleet, "/stock/1", "from the stock");

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_fleet.h"
#include "process/wait.h"
#include "support/scripted_server.h"

namespace jackdawweir::platform_process_test {

using process_test::waitUntil;
using test::after_reply;
using test::scripted_server;

// The timeout only ends failing tests.
constexpr std::chrono::seconds waitTimeout{20};

inline std::string reply(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Jackdawweir-Attempt-Id: 77\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends requests to both nodes for longer than a change of the servers takes to reach them.
inline void assertNoRequestArrives(const mesh_fleet &fleet, const scripted_server &server)
{
    const std::size_t before = server.requestsReceived();
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    while (std::chrono::steady_clock::now() < end) {
        for (const int node : {1, 2}) {
            CPPUNIT_ASSERT_EQUAL(503, fleet.request(node, "GET", "/stock/1").status);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(before, server.requestsReceived());
}

inline int
replace(const mesh_fleet &fleet, int source, int base, int version, const std::string &service)
{
    return fleet
        .callSource(source,
                    "POST",
                    "/Config.Replace",
                    configuration(version, service),
                    "X-Jackdawweir-Base-Version: r" + std::to_string(base) + "\r\n")
        .status;
}

// Sends the change again while its outcome is not known.
inline int
replaceUntilDecided(const mesh_fleet &fleet, int base, int version, const std::string &service)
{
    int status = 503;
    waitUntil(waitTimeout, [&] {
        status = replace(fleet, 1, base, version, service);
        return status != 503 && status != 0;
    });
    return status;
}

// Checks that a source answers reads with this configuration, within a time.
inline void awaitRead(const mesh_fleet &fleet,
                      int source,
                      std::uint64_t version,
                      const std::string &service,
                      std::chrono::milliseconds within = waitTimeout)
{
    call_response read;
    CPPUNIT_ASSERT(waitUntil(within, [&] {
        read = fleet.callSource(source, "GET", "/Config.Read", "");
        return read.status == 200;
    }));
    CPPUNIT_ASSERT_EQUAL(configuration(version, service), read.body);
}

// Starts the sources and two nodes, and applies a configuration whose routes lead to "stock".
inline void startNodes(mesh_fleet &fleet)
{
    fleet.startSources(true);
    fleet.startNode(1, "desk");
    fleet.startNode(2, "stock");
    CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
    CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return fleet.isReady(1) && fleet.isReady(2); }));
}

// Does the same as startNodes() and announces the servers: "desk" on the host of node 1,
// "stock" on the host of node 2.
inline void serve(mesh_fleet &fleet, const scripted_server &desk, const scripted_server &stock)
{
    startNodes(fleet);
    CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
        return fleet.announce(1, "i-desk", "desk", desk.address().value, 1).status == 200
            && fleet.announce(2, "i-stock", "stock", stock.address().value, 1).status == 200;
    }));
}

inline void
awaitBody(const mesh_fleet &fleet, const std::string &target, const std::string &expected)
{
    call_response response;
    waitUntil(waitTimeout, [&] {
        response = fleet.request(1, "GET", target);
        return response.body == expected;
    });
    CPPUNIT_ASSERT_EQUAL(expected, response.body);
}

} // namespace jackdawweir::platform_process_test
