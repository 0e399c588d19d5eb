// Starts sources and nodes as the deploy file does, and stands in for the operator, the backend
// servers and the callers. Everything runs on loopback addresses, on the real clock.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline const steady::time_point startedAt = steady::now();

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - startedAt).count();
}

// The lines of record.txt: what was sent, answered and run.
class record
{
public:
    explicit record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f s  ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool isFree(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(ip, port);
    const bool bound
        = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(socket);
    return bound;
}

struct answer {
    // 0 where there was no complete answer.
    int status = 0;
    std::string headers;
    std::string body;
};

inline bool writeAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count
            = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string headerIn(const std::string &headers, const std::string &name)
{
    const char *found = strcasestr(headers.c_str(), ("\r\n" + name + ":").c_str());
    if (found == nullptr) {
        return {};
    }
    std::string value(found + name.size() + 3);
    value.resize(value.find("\r\n"));
    value.erase(0, value.find_first_not_of(' '));
    return value;
}

// Reads one message with a Content-Length (or without a body). Returns false at the end of the
// connection or the timeout. `rest` keeps what follows.
inline bool readMessage(int socket, std::string &rest, std::string &headers, std::string &body)
{
    std::string &bytes = rest;
    std::size_t end = std::string::npos;
    while (true) {
        end = bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
            headers = bytes.substr(0, end + 2);
            const std::string length = headerIn(headers, "Content-Length");
            const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
            if (bytes.size() >= end + 4 + wanted) {
                body = bytes.substr(end + 4, wanted);
                bytes.erase(0, end + 4 + wanted);
                return true;
            }
        }
        char chunk[16384];
        const ssize_t count = ::recv(socket, chunk, sizeof chunk, 0);
        if (count <= 0) {
            return false;
        }
        bytes.append(chunk, static_cast<std::size_t>(count));
    }
}

// Sends one request over a new connection.
inline answer call(const std::string &ip,
                   std::uint16_t port,
                   const std::string &method,
                   const std::string &target,
                   const std::string &headers,
                   const std::string &body,
                   double timeoutS = 3)
{
    answer received;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{static_cast<time_t>(timeoutS),
                        static_cast<suseconds_t>((timeoutS - static_cast<int>(timeoutS)) * 1e6)};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        writeAll(socket,
                 method + " " + target + " HTTP/1.1\r\n" + headers
                     + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        std::string rest;
        std::string head;
        if (readMessage(socket, rest, head, received.body) && head.size() > 12) {
            received.status = std::atoi(head.c_str() + 9);
            received.headers = head;
        }
    }
    ::close(socket);
    return received;
}

// A sound backend server: serves one request at a time on a connection, echoes the id, seals its
// answers, and answers 421 where another instance is expected.
class backend_server
{
public:
    using arrival_handler
        = std::function<void(const std::string &id, const std::string &target, std::size_t body)>;

    backend_server(std::string ip, std::uint16_t port, std::string instance, arrival_handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_instance(std::move(instance))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
        , m_handler(std::move(handler))
    {
        m_listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(m_ip, m_port);
        if (::bind(m_listening, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listening, 128) != 0) {
            std::perror("listen");
            std::exit(couldNotRun);
        }
        std::thread([this] { acceptAll(); }).detach();
    }

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

    const std::string &instance() const
    {
        return m_instance;
    }

    // The body of a heartbeat, with the next sequence number.
    std::string beat(const std::string &service, const std::string &zone, const std::string &phase)
    {
        return "{\"address\":\"" + address() + "\",\"born\":" + std::to_string(m_born)
            + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + zone
            + "\",\"capacity\":12},\"status\":{\"phase\":\"" + phase
            + "\",\"sequence\":" + std::to_string(++m_sequence) + ",\"coldRemainingS\":0}}";
    }

    std::string farewell() const
    {
        return "{\"born\":" + std::to_string(m_born) + "}";
    }

private:
    void acceptAll()
    {
        while (true) {
            const int socket = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string rest;
        std::string headers;
        std::string body;
        while (readMessage(socket, rest, headers, body)) {
            const std::string id = headerIn(headers, "X-Jackdawweir-Attempt-Id");
            const std::string expected = headerIn(headers, "X-Jackdawweir-Expect-Instance");
            const std::string target
                = headers.substr(0, headers.find(" HTTP/")).substr(headers.find(' ') + 1);
            std::string sent;
            if (!expected.empty() && expected != m_instance) {
                sent = "HTTP/1.1 421 Misdirected Request\r\nX-Jackdawweir-Attempt-Id: " + id
                    + "\r\nX-Jackdawweir-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            } else {
                m_handler(id, target, body.size());
                std::this_thread::sleep_for(20ms);
                const std::string text = "answer to " + id;
                sent = "HTTP/1.1 200 OK\r\nX-Jackdawweir-Attempt-Id: " + id
                    + "\r\nX-Jackdawweir-Server-Seal: " + m_instance
                    + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
            }
            if (!writeAll(socket, sent)) {
                break;
            }
        }
        ::close(socket);
    }

    std::string m_ip;
    std::uint16_t m_port;
    std::string m_instance;
    std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    int m_listening = -1;
    arrival_handler m_handler;
};

// The processes of one deployment, one loopback address for each machine.
class deployment
{
public:
    explicit deployment(record &lines)
        : m_record(lines)
        , m_folder(std::filesystem::temp_directory_path()
                   / ("jackdawweir-review-" + std::to_string(getpid())))
        , m_net("127." + std::to_string(10 + getpid() % 200) + "."
                + std::to_string(1 + getpid() / 200 % 250) + ".")
    {
        std::filesystem::create_directories(m_folder);
        for (m_base = 20'000; m_base < 28'000 && !arePortsFree(); m_base += 20) {
        }
    }

    ~deployment()
    {
        killAll();
    }

    // Ends all processes and this one. The threads of the servers never end by themselves.
    [[noreturn]] void end(int code)
    {
        killAll();
        std::fflush(nullptr);
        ::_exit(code);
    }

    // Machines 1 to 3 are the core machines of zone-a, zone-b and zone-c.
    std::string ip(int machine) const
    {
        return m_net + std::to_string(machine);
    }

    std::uint16_t outbound() const
    {
        return static_cast<std::uint16_t>(m_base + 1);
    }

    std::uint16_t admin() const
    {
        return static_cast<std::uint16_t>(m_base + 2);
    }

    std::uint16_t upstream() const
    {
        return static_cast<std::uint16_t>(m_base + 3);
    }

    std::uint16_t readiness() const
    {
        return static_cast<std::uint16_t>(m_base + 4);
    }

    void startSource(int machine, bool isBootstrap)
    {
        const std::string data = m_folder / ("data-" + std::to_string(machine));
        std::filesystem::create_directories(data);
        start(machine,
              "core-" + zone(machine) + "-" + std::to_string(machine),
              "source: {data-folder: \"" + data
                  + "\", bootstrap: " + (isBootstrap ? "true" : "false") + "}\n");
    }

    void startNode(int machine, const std::string &service)
    {
        start(machine,
              "sidecar-" + zone(machine) + "-" + std::to_string(machine),
              "node: {callers: \"" + ip(machine) + ":" + std::to_string(outbound())
                  + "\", readiness: \"" + ip(machine) + ":" + std::to_string(readiness())
                  + "\", service: \"" + service + "\"}\n");
    }

    void kill(int machine)
    {
        ::kill(m_processes.at(machine), SIGKILL);
        ::waitpid(m_processes.at(machine), nullptr, 0);
        m_processes.erase(machine);
        m_record.line("machine %d: SIGKILL", machine);
    }

    static std::string zone(int machine)
    {
        const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
        return zones[(machine - 1) % 3];
    }

    bool isReady(int machine) const
    {
        return call(ip(machine), readiness(), "GET", "/readyz", "Host: n\r\n", "", 1).status == 200;
    }

    bool awaitReady(int machine, double limitS) const
    {
        const double until = seconds() + limitS;
        while (seconds() < until) {
            if (isReady(machine)) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    // Sends a configuration until it is acknowledged, as the operator does. Returns false after
    // `limitS`.
    bool replace(int version, int base, const std::string &resources, double limitS)
    {
        const std::string body
            = "{\"version\":\"r" + std::to_string(version) + "\",\"resources\":[" + resources + "]}";
        const double until = seconds() + limitS;
        for (int turn = 0; seconds() < until; ++turn) {
            const int source = 1 + turn % 3;
            const answer received
                = call(ip(source),
                       admin(),
                       "POST",
                       "/Config.Replace",
                       "Host: control\r\nContent-Type: application/json\r\n"
                       "X-Jackdawweir-Base-Version: r"
                           + std::to_string(base) + "\r\n",
                       body,
                       1);
            if (received.status == 200) {
                m_record.line("operator: configuration r%d acknowledged by machine %d",
                              version,
                              source);
                return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        m_record.line("operator: configuration r%d was not acknowledged", version);
        return false;
    }

    answer announce(int machine, const std::string &instance, const std::string &beat)
    {
        return call(ip(machine),
                    admin(),
                    "POST",
                    "/Instances.Heartbeat/" + instance,
                    "Host: node\r\nContent-Type: application/json\r\n",
                    beat,
                    1);
    }

private:
    void killAll()
    {
        for (const auto &[name, pid] : m_processes) {
            ::kill(pid, SIGKILL);
        }
        for (const auto &[name, pid] : m_processes) {
            ::waitpid(pid, nullptr, 0);
        }
        m_processes.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }
    }

    bool arePortsFree() const
    {
        for (int machine = 1; machine <= 16; ++machine) {
            for (int port = 0; port < 10; ++port) {
                if (!isFree(ip(machine), static_cast<std::uint16_t>(m_base + port))) {
                    return false;
                }
            }
        }
        return true;
    }

    // Writes the settings as deploy/settings.yaml.template renders them, and runs the command of
    // the deploy file in the root of the repository.
    void start(int machine, const std::string &name, const std::string &role)
    {
        const std::string path = m_folder / (name + ".yaml");
        std::ofstream settings(path);
        settings << "host: \"" << name << "\"\ndata-centre: \"" << zone(machine)
                 << "\"\noperators: \"" << ip(machine) << ":" << admin() << "\"\nmesh: \""
                 << ip(machine) << ":" << m_base + 5 << "\"\nmetrics: \"" << ip(machine) << ":"
                 << m_base + 6 << "\"\nsources: [";
        for (int source = 1; source <= 3; ++source) {
            settings << (source > 1 ? "," : "") << "\"" << ip(source) << ":" << admin() << "\"";
        }
        settings << "]\n"
                 << role
                 << "drain-seconds: \"2\"\nshutdown-seconds: \"6\"\nretry-ratio: \"0.2\"\n"
                    "retry-allowance: \"64\"\nretry-window-seconds: \"10\"\n"
                    "rollout-exposure-ratio: \"0.1\"\nrollout-exposure-allowance: \"50\"\n";
        settings.close();
        const std::string log = m_folder / (name + ".log");
        const pid_t pid = ::fork();
        if (pid == 0) {
            // The process ends with this program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("JACKDAWWEIR_NODE_FILE", path.c_str(), 1);
            ::execl("target/bin/jackdawweir-platform", "target/bin/jackdawweir-platform", nullptr);
            std::perror("target/bin/jackdawweir-platform");
            ::_exit(127);
        }
        m_processes[machine] = pid;
        m_record.line("machine %d (%s): started", machine, name.c_str());
    }

    record &m_record;
    std::filesystem::path m_folder;
    std::string m_net;
    int m_base = 0;
    std::map<int, pid_t> m_processes;
};

inline std::string routeJson(const std::string &name,
                             const std::string &prefix,
                             const std::string &type,
                             const std::string &service)
{
    return "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"" + name
        + "\"},\"spec\":{\"host\":\"shop.example\",\"pathPrefix\":\"" + prefix + "\",\"type\":\""
        + type + "\",\"timeoutS\":1.5,\"targetLatencyS\":0.4,\"priority\":1,\"service\":\""
        + service + "\",\"maxAttempts\":2}}";
}

inline std::string serviceJson(const std::string &name)
{
    return "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"" + name
        + "\"},\"spec\":{\"healthPath\":\"/healthz\",\"maxConnections\":130,\"protocol\":\"h1\","
          "\"tls\":false}}";
}

inline std::string limitsJson(std::uint64_t maxBodyBytes, int idleTimeoutS = 15)
{
    return "{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
           "\"maxBodyBytes\":"
        + std::to_string(maxBodyBytes) + ",\"headerTimeoutS\":3,\"idleTimeoutS\":" + std::to_string(idleTimeoutS) + "}}";
}

// Returns false where the environment asks for a run without the disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
