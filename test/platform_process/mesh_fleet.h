// A small mesh of real processes on loopback: three sources and any number of nodes. The test acts
// as the operator, the backend servers and the callers.
//
//     mesh_fleet fleet(1);
//     fleet.startSources(true);
//     fleet.startNode(1, "stock");
//     const call_response read = fleet.callSource(2, "GET", "/Config.Read", "");

#pragma once

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform_process/link_proxies.h"
#include "process/child_process.h"

namespace jackdawweir::platform_process_test {

struct call_response {
    // 0 where there was no response.
    int status = 0;
    std::string body;
};

// A configuration whose two routes, "/stock/" and "/order/", lead to the service.
inline std::string configuration(std::uint64_t version,
                                 const std::string &service,
                                 const std::string &timeoutSeconds = "2",
                                 const std::string &targetSeconds = "0.3")
{
    const std::string times
        = R"("timeoutS":)" + timeoutSeconds + R"(,"targetLatencyS":)" + targetSeconds;
    return R"({"version":"r)" + std::to_string(version) + R"(","resources":[
        {"resourceKind":"routes","metadata":{"name":"lookup"},"spec":{"host":"shop.example",
         "pathPrefix":"/stock/","type":"safe",)"
        + times + R"(,"priority":1,
         "service":")"
        + service + R"(","maxAttempts":2}},
        {"resourceKind":"routes","metadata":{"name":"order"},"spec":{"host":"shop.example",
         "pathPrefix":"/order/","type":"unsafe",)"
        + times + R"(,"priority":0,
         "service":")"
        + service + R"(","maxAttempts":2}},
        {"resourceKind":"services","metadata":{"name":"stock"},"spec":{"healthPath":"/health",
         "maxConnections":100,"protocol":"h1","tls":false}},
        {"resourceKind":"services","metadata":{"name":"desk"},"spec":{"healthPath":"/health",
         "maxConnections":100,"protocol":"h1","tls":false}}]})";
}

// Sends one request over a new connection.
inline call_response sendRequest(const std::string &ip,
                                 std::uint16_t port,
                                 const std::string &method,
                                 const std::string &target,
                                 const std::string &headers,
                                 const std::string &body)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code failure;
    socket.connect({boost::asio::ip::make_address(ip), port}, failure);
    if (failure) {
        return {};
    }
    const timeval limit{5, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    boost::asio::write(socket,
                       boost::asio::buffer(method + " " + target + " HTTP/1.1\r\n" + headers
                                           + "Connection: close\r\nContent-Length: "
                                           + std::to_string(body.size()) + "\r\n\r\n" + body),
                       failure);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), failure);
    constexpr std::size_t statusOffset = 9;
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return {};
    }
    return {std::atoi(received.substr(statusOffset, 3).c_str()), received.substr(end + 4)};
}

class mesh_fleet
{
public:
    static constexpr int sourceCount = 3;
    // The port of the operators' addresses of sources, and of the addresses of nodes for the calls
    // of backend servers.
    static constexpr std::uint16_t operatorsPort = 17506;

    // Meshes with different numbers use different addresses.
    explicit mesh_fleet(int number)
        : m_number(number)
        , m_folder(
              std::filesystem::temp_directory_path()
              / ("jackdawweir-mesh-" + std::to_string(getpid()) + "-" + std::to_string(number)))
    {
        std::filesystem::create_directories(m_folder);
    }

    ~mesh_fleet()
    {
        m_processes.clear();
        if (!m_keepsFolder) {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }
    }

    // Keeps the logs and data of the processes after the test. Returns their folder.
    const std::filesystem::path &keepFolder()
    {
        m_keepsFolder = true;
        return m_folder;
    }

    // The folder with the logs and data of the processes.
    const std::filesystem::path &folder() const
    {
        return m_folder;
    }

    mesh_fleet(const mesh_fleet &) = delete;
    mesh_fleet &operator=(const mesh_fleet &) = delete;

    // Puts the processes into three data centres, each with one source. Called before the first
    // start.
    void useSeveralDataCentres()
    {
        m_hasSeveralDataCentres = true;
    }

    // Puts the processes into three data centres, each with one source, and a proxy before the mesh
    // address of each. Called before the first start.
    void useProxiesBetweenDataCentres()
    {
        m_proxies = std::make_unique<link_proxies>();
        useSeveralDataCentres();
    }

    // Returns the name of the data centre of the source or node at this place.
    std::string dataCentreOf(int place) const
    {
        return std::string(1, m_hasSeveralDataCentres ? "abc"[(place - 1) % sourceCount] : 'a');
    }

    // Adds lines to the settings of all processes. Called before the first start.
    void setMoreSettings(const std::string &lines)
    {
        m_moreSettings = lines;
    }

    link_proxies &proxies()
    {
        return *m_proxies;
    }

    void startSources(bool isFirstStart)
    {
        for (int index = 1; index <= sourceCount; ++index) {
            startSource(index, isFirstStart);
        }
    }

    void startSource(int index, bool isFirstStart)
    {
        const std::filesystem::path data = m_folder / ("data-" + std::to_string(index));
        std::filesystem::create_directories(data);
        start(sourceIp(index),
              index,
              "source: {data-folder: \"" + data.string()
                  + "\", bootstrap: " + (isFirstStart ? "true" : "false") + "}\n");
    }

    // Removes everything that a source has stored. The source must not be running.
    void eraseDisk(int index)
    {
        std::filesystem::remove_all(m_folder / ("data-" + std::to_string(index)));
    }

    void startNode(int index, const std::string &service)
    {
        const std::string ip = nodeIp(index);
        start(ip,
              index,
              "node: {callers: \"" + ip + ":17504\", readiness: \"" + ip
                  + ":17502\", service: " + service + "}\n");
    }

    void kill(const std::string &ip)
    {
        m_processes.at(ip)->killAndReap();
        m_processes.erase(ip);
    }

    process_test::child_process &processAt(const std::string &ip)
    {
        return *m_processes.at(ip);
    }

    call_response callSource(int index,
                             const std::string &method,
                             const std::string &target,
                             const std::string &body,
                             const std::string &headers = "") const
    {
        return sendRequest(
            sourceIp(index), operatorsPort, method, target, "Host: source\r\n" + headers, body);
    }

    // Announces a backend server to the node of its host.
    call_response announce(int node,
                           const std::string &instance,
                           const std::string &service,
                           const std::string &address,
                           int sequence,
                           const std::string &phase = "ready",
                           std::int64_t startedAtMillis = 1'700'000'000'000) const
    {
        return announceAt(
            nodeIp(node), instance, service, address, sequence, phase, startedAtMillis);
    }

    // Announces a backend server at one of the addresses of a node.
    call_response announceAt(const std::string &ip,
                             const std::string &instance,
                             const std::string &service,
                             const std::string &address,
                             int sequence,
                             const std::string &phase,
                             std::int64_t startedAtMillis) const
    {
        return sendRequest(
            ip,
            operatorsPort,
            "POST",
            "/Instances.Heartbeat/" + instance,
            "Host: node\r\n",
            R"({"address":")" + address + R"(","born":)" + std::to_string(startedAtMillis)
                + R"(,"info":{"service":")" + service
                + R"(","version":"v1","zone":"a","capacity":4},"status":{"phase":")" + phase
                + R"(","sequence":)" + std::to_string(sequence) + R"(,"coldRemainingS":0}})");
    }

    // Deregisters a backend server, which accepts no new requests from then on, at the node of its
    // host.
    call_response withdraw(int node, const std::string &instance) const
    {
        return sendRequest(nodeIp(node),
                           operatorsPort,
                           "POST",
                           "/Instances.Deregister/" + instance,
                           "Host: node\r\n",
                           "");
    }

    bool isReady(int node) const
    {
        return sendRequest(nodeIp(node), 17502, "GET", "/readyz", "Host: n\r\n", "").status == 200;
    }

    call_response request(int node,
                          const std::string &method,
                          const std::string &target,
                          const std::string &body = "") const
    {
        return requestWith(node, method, target, "", body);
    }

    // Sends a caller's request with further header lines.
    call_response requestWith(int node,
                              const std::string &method,
                              const std::string &target,
                              const std::string &headers,
                              const std::string &body = "") const
    {
        return sendRequest(nodeIp(node),
                           17504,
                           method,
                           target,
                           "Host: shop.example\r\nX-Jackdawweir-Attempt-Id: 77\r\n"
                           "X-Jackdawweir-Deadline-Ms: 3000\r\n"
                               + headers,
                           body);
    }

    // Returns the metrics of a node as text.
    std::string metricsOf(int node) const
    {
        return sendRequest(nodeIp(node), 17508, "GET", "/metrics", "Host: n\r\n", "").body;
    }

    std::string sourceIp(int index) const
    {
        return "127.1." + std::to_string(m_number) + "." + std::to_string(index);
    }

    std::string nodeIp(int index) const
    {
        return "127.2." + std::to_string(m_number) + "." + std::to_string(index);
    }

private:
    // Returns the settings of a process behind a proxy, which is added at its first start.
    std::string listenSettings(const std::string &ip)
    {
        constexpr std::uint16_t meshPort = 17520;
        constexpr std::uint16_t listenPort = 27520;
        if (!m_proxies) {
            return "";
        }
        if (m_proxied.insert(ip).second) {
            m_proxies->add(ip, meshPort, listenPort);
        }
        return "mesh-listen: \"" + ip + ":" + std::to_string(listenPort) + "\"\n";
    }

    void start(const std::string &ip, int place, const std::string &role)
    {
        const std::filesystem::path path = m_folder / (ip + ".yaml");
        std::ofstream settings(path);
        settings << "host: \"host-" << ip << "\"\ndata-centre: " << dataCentreOf(place)
                 << "\noperators: \"" << ip << ":17506\"\nmesh: \"" << ip << ":17520\"\nmetrics: \""
                 << ip << ":17508\"\nsources: [";
        for (int index = 1; index <= sourceCount; ++index) {
            settings << (index > 1 ? ", " : "") << "\"" << sourceIp(index) << ":17506\"";
        }
        settings << "]\nshutdown-seconds: \"6\"\n" << m_moreSettings << listenSettings(ip) << role;
        settings.close();
        m_processes[ip]
            = std::make_unique<process_test::child_process>("jackdawweir-platform",
                                                            std::vector<std::string>{path.string()},
                                                            (m_folder / (ip + ".log")).string());
    }

    int m_number;
    std::filesystem::path m_folder;
    bool m_keepsFolder = false;
    bool m_hasSeveralDataCentres = false;
    std::string m_moreSettings;
    std::unique_ptr<link_proxies> m_proxies;
    std::set<std::string> m_proxied;
    std::map<std::string, std::unique_ptr<process_test::child_process>> m_processes;
};

} // namespace jackdawweir::platform_process_test
