// What the scripts of this review share: processes of the project with settings like those that
// the deploy template makes, proxies before their mesh addresses, small HTTP stand-ins, and a
// record of what was sent, answered and run. Uses only POSIX and the standard library.
//
// A proxy stands between two machines. It can leave the address of a machine that has not started
// unanswered (packets that arrive for it are dropped), and it can make one open connection silent
// for good: it keeps both ends open, acknowledges what arrives, and passes nothing on.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
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
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum exit_code { held = 0, broken = 1, notRun = 2 };

inline steady::time_point &origin()
{
    static steady::time_point start = steady::now();
    return start;
}

inline double elapsed()
{
    return std::chrono::duration<double>(steady::now() - origin()).count();
}

inline void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

// The record of a run, also printed.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_file(path)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f s  ", elapsed());
        m_file << stamp << text << std::endl;
        std::printf("%s%s\n", stamp, text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct http_answer {
    int status = 0; // 0: no whole answer
    std::string head;
    std::string body;
    std::string failure;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline void setTimeouts(int socket, milliseconds limit)
{
    const timeval value{limit.count() / 1000, (limit.count() % 1000) * 1000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

inline int connectTo(const std::string &ip, int port, milliseconds limit)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setTimeouts(made, limit);
    const int one = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(made, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(made);
        return -1;
    }
    return made;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string headerOf(const std::string &head, const std::string &name)
{
    std::string lower = head;
    std::string wanted = "\r\n" + name + ":";
    for (std::string *each : {&lower, &wanted}) {
        for (char &letter : *each) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
    }
    const std::size_t found = lower.find(wanted);
    if (found == std::string::npos) {
        return "";
    }
    std::size_t begin = found + wanted.size();
    while (begin < head.size() && head[begin] == ' ') {
        ++begin;
    }
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Reads one message with a Content-Length. `pending` keeps the bytes behind it.
inline http_answer readMessage(int socket, std::string &pending)
{
    http_answer answer;
    char buffer[16384];
    std::size_t end = std::string::npos;
    while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            answer.failure = count == 0 ? "closed" : std::strerror(errno);
            return answer;
        }
        pending.append(buffer, static_cast<std::size_t>(count));
    }
    answer.head = pending.substr(0, end + 2);
    const std::size_t length
        = static_cast<std::size_t>(std::atoll(headerOf(answer.head, "Content-Length").c_str()));
    while (pending.size() < end + 4 + length) {
        const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            answer.failure = "cut short";
            return answer;
        }
        pending.append(buffer, static_cast<std::size_t>(count));
    }
    answer.body = pending.substr(end + 4, length);
    pending.erase(0, end + 4 + length);
    answer.status
        = answer.head.compare(0, 5, "HTTP/") == 0 ? std::atoi(answer.head.c_str() + 9) : 1;
    return answer;
}

// Sends one request over a new connection. An answer later than `limit` is none.
inline http_answer call(const std::string &ip,
                        int port,
                        const std::string &method,
                        const std::string &target,
                        const std::string &headers,
                        const std::string &body,
                        milliseconds limit)
{
    http_answer answer;
    const int socket = connectTo(ip, port, limit);
    if (socket < 0) {
        answer.failure = "no connection";
        return answer;
    }
    const std::string message = method + " " + target + " HTTP/1.1\r\n" + headers
        + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string pending;
    if (sendAll(socket, message)) {
        answer = readMessage(socket, pending);
    } else {
        answer.failure = "not sent";
    }
    close(socket);
    return answer;
}

// A process of the project, started with the command of the deploy file.
class process
{
public:
    process(const std::string &settings, const std::string &log)
    {
        m_pid = fork();
        if (m_pid == 0) {
            setsid();
            // The process ends with the scenario, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            setenv("JACKDAWWEIR_NODE_FILE", settings.c_str(), 1);
            execl("target/bin/jackdawweir-platform", "jackdawweir-platform", nullptr);
            _exit(127);
        }
    }

    ~process()
    {
        kill();
    }

    process(const process &) = delete;
    process &operator=(const process &) = delete;

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    // Returns true if the process has ended by itself.
    bool hasEnded()
    {
        if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid <= 0;
    }

private:
    pid_t m_pid = -1;
};

inline int listenOn(const std::string &ip, int port)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = addressOf(ip, port);
    if (bind(made, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(made, 256) != 0) {
        close(made);
        return -1;
    }
    return made;
}

// The links between the machines.
class proxies
{
public:
    proxies()
        : m_thread([this] { run(); })
    {
    }

    ~proxies()
    {
        m_stops = true;
        m_thread.join();
    }

    proxies(const proxies &) = delete;
    proxies &operator=(const proxies &) = delete;

    // Passes connections to the port `from` of an address on to its port `to`. Returns false if the
    // port is taken.
    bool add(const std::string &ip, int from, int to)
    {
        const int made = listenOn(ip, from);
        if (made < 0) {
            return false;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_listeners.push_back(listener{made, ip, from, to});
        return true;
    }

    // The address of a machine without power does not answer.
    void setPower(const std::string &ip, bool isOn)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const listener &each : m_listeners) {
            if (each.ip == ip) {
                sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
                const sock_fprog program{1, &dropAll};
                const int unused = 0;
                if (isOn) {
                    setsockopt(each.socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
                } else {
                    setsockopt(each.socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
                }
            }
        }
    }

    // New connections are refused, as by a cut that answers with resets, or accepted again.
    void refuseNew(bool refuses)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (listener &each : m_listeners) {
            if (refuses) {
                close(each.socket);
                each.socket = -1;
            } else {
                each.socket = listenOn(each.ip, each.from);
            }
        }
    }

    // Resets the open connections of a machine. Returns how many these are.
    std::size_t reset(const std::string &ip)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::size_t count = 0;
        for (const auto &each : m_links) {
            if (!each->isOver && (each->from == ip || each->to == ip)) {
                const linger hard{1, 0};
                setsockopt(each->opener, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                setsockopt(each->acceptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                endLink(*each);
                ++count;
            }
        }
        return count;
    }

    // The machines `inside` are cut off from all others: connections between the two sides are
    // reset, and so are new ones, once they have named the process that opened them. An empty set
    // ends the cut.
    void cut(const std::set<std::string> &inside)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_inside = inside;
        for (const auto &each : m_links) {
            endIfCut(*each);
        }
    }

    // Returns the number of open connections that `from` has opened to `to`.
    std::size_t countOpen(const std::string &from, const std::string &to)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::size_t count = 0;
        for (const auto &each : m_links) {
            count += each->from == from && each->to == to && !each->isSilent ? 1 : 0;
        }
        return count;
    }

    // The open connections that `from` has opened to `to` go silent for good. New ones work.
    // Returns how many these are.
    std::size_t silence(const std::string &from, const std::string &to)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::size_t count = 0;
        for (const auto &each : m_links) {
            if (each->from == from && each->to == to && !each->isSilent) {
                each->isSilent = true;
                ++count;
            }
        }
        return count;
    }

private:
    struct listener {
        int socket;
        std::string ip;
        int from;
        int to;
    };

    struct link {
        int opener = -1;
        int acceptor = -1;
        std::string from;
        std::string to;
        std::string first;
        bool isSilent = false;
        bool isOver = false;
    };

    void run()
    {
        while (!m_stops) {
            std::vector<pollfd> waited;
            std::vector<std::shared_ptr<link>> links;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                for (const listener &each : m_listeners) {
                    waited.push_back(pollfd{each.socket, POLLIN, 0});
                }
                links = m_links;
            }
            const std::size_t listeners = waited.size();
            for (const auto &each : links) {
                waited.push_back(pollfd{each->opener, POLLIN, 0});
                waited.push_back(pollfd{each->acceptor, POLLIN, 0});
            }
            poll(waited.data(), waited.size(), 5);
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (std::size_t index = 0; index < listeners; ++index) {
                if (m_listeners[index].socket == waited[index].fd
                    && (waited[index].revents & POLLIN) != 0) {
                    acceptOne(m_listeners[index]);
                }
            }
            for (std::size_t index = 0; index < links.size(); ++index) {
                if (!links[index]->isOver && waited[listeners + 2 * index].revents != 0) {
                    pass(*links[index], true);
                }
                if (!links[index]->isOver && waited[listeners + 2 * index + 1].revents != 0) {
                    pass(*links[index], false);
                }
            }
            std::erase_if(m_links, [](const auto &each) { return each->isOver; });
        }
        for (const auto &each : m_links) {
            endLink(*each);
        }
        for (const listener &each : m_listeners) {
            close(each.socket);
        }
    }

    void acceptOne(const listener &accepting)
    {
        const int opener = accept4(accepting.socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (opener < 0) {
            return;
        }
        const int acceptor = connectTo(accepting.ip, accepting.to, milliseconds(1000));
        if (acceptor < 0) {
            // The machine runs and nothing listens there: a reset.
            const linger hard{1, 0};
            setsockopt(opener, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            close(opener);
            return;
        }
        const int one = 1;
        setsockopt(opener, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const auto made = std::make_shared<link>();
        made->opener = opener;
        made->acceptor = acceptor;
        made->to = accepting.ip;
        m_links.push_back(made);
    }

    // The first frame names the mesh address of the process that opened the connection.
    static void identify(link &opened, const char *bytes, std::size_t size)
    {
        if (!opened.from.empty() || opened.first.size() > 256) {
            return;
        }
        opened.first.append(bytes, size);
        const std::size_t begin = opened.first.find("127.");
        const std::size_t end = begin == std::string::npos ? begin : opened.first.find(':', begin);
        if (end != std::string::npos) {
            opened.from = opened.first.substr(begin, end - begin);
        }
    }

    void pass(link &passing, bool isFromOpener)
    {
        const int from = isFromOpener ? passing.opener : passing.acceptor;
        const int to = isFromOpener ? passing.acceptor : passing.opener;
        char buffer[65536];
        const ssize_t count = recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            if (passing.isSilent) {
                // The other side must not see the end.
                close(from);
                (isFromOpener ? passing.opener : passing.acceptor) = -1;
            } else {
                endLink(passing);
            }
            return;
        }
        if (isFromOpener) {
            identify(passing, buffer, static_cast<std::size_t>(count));
        }
        endIfCut(passing);
        if (passing.isSilent || passing.isOver) {
            return;
        }
        if (!sendAll(to, std::string(buffer, static_cast<std::size_t>(count)))) {
            endLink(passing);
        }
    }

    void endIfCut(link &checked) const
    {
        if (!checked.isOver && !checked.from.empty()
            && m_inside.contains(checked.from) != m_inside.contains(checked.to)) {
            const linger hard{1, 0};
            setsockopt(checked.opener, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            setsockopt(checked.acceptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            endLink(checked);
        }
    }

    // A silent connection shows neither side that the other one has ended.
    static void endLink(link &ending)
    {
        if (!ending.isOver) {
            ending.isOver = true;
            for (const int each : {ending.opener, ending.acceptor}) {
                if (each >= 0) {
                    close(each);
                }
            }
        }
    }

    std::mutex m_mutex;
    std::vector<listener> m_listeners;
    std::vector<std::shared_ptr<link>> m_links;
    std::set<std::string> m_inside;
    std::atomic<bool> m_stops{false};
    std::thread m_thread;
};

// A sound backend server: it runs each request for a time and answers 200 with its seal. A health
// check gets 200. It closes a connection only when its peer does.
class backend_server
{
public:
    struct run {
        std::string id;
        std::string target;
        double at;
    };

    backend_server(std::string ip, int port, std::string instance, milliseconds work)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_instance(std::move(instance))
        , m_work(work)
        , m_socket(listenOn(m_ip, port))
        , m_thread([this] { acceptAll(); })
    {
    }

    ~backend_server()
    {
        m_stops = true;
        m_thread.join();
        for (std::thread &each : m_connections) {
            each.join();
        }
        if (m_socket >= 0) {
            close(m_socket);
        }
    }

    backend_server(const backend_server &) = delete;
    backend_server &operator=(const backend_server &) = delete;

    bool isListening() const
    {
        return m_socket >= 0;
    }

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

    const std::string &instance() const
    {
        return m_instance;
    }

    std::vector<run> runs()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

private:
    void acceptAll()
    {
        while (!m_stops) {
            pollfd waited{m_socket, POLLIN, 0};
            if (poll(&waited, 1, 20) > 0) {
                const int accepted = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0) {
                    m_connections.emplace_back([this, accepted] { serve(accepted); });
                }
            }
        }
    }

    void serve(int connection)
    {
        std::string pending;
        while (!m_stops) {
            pollfd waited{connection, POLLIN, 0};
            if (pending.empty() && poll(&waited, 1, 20) <= 0) {
                continue;
            }
            const http_answer request = readMessage(connection, pending);
            if (request.status == 0 || !sendAll(connection, answerTo(request))) {
                break;
            }
        }
        close(connection);
    }

    std::string answerTo(const http_answer &request)
    {
        const std::string expected = headerOf(request.head, "X-Jackdawweir-Expect-Instance");
        const std::string id = headerOf(request.head, "X-Jackdawweir-Attempt-Id");
        const std::size_t space = request.head.find(' ');
        const std::string target
            = request.head.substr(space + 1, request.head.find(' ', space + 1) - space - 1);
        std::string headers = "X-Jackdawweir-Instance-Id: " + m_instance + "\r\n";
        if (!id.empty()) {
            headers += "X-Jackdawweir-Attempt-Id: " + id + "\r\n";
        }
        if (!expected.empty() && expected != m_instance) {
            return "HTTP/1.1 421 Misdirected Request\r\nX-Jackdawweir-Not-Executed: 1\r\n" + headers
                + "Content-Length: 0\r\n\r\n";
        }
        if (!id.empty()) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_runs.push_back(run{id, target, elapsed()});
            }
            pause(m_work);
            headers += "X-Jackdawweir-Server-Seal: seal-" + id + "\r\n";
        }
        const std::string body = "from " + m_instance;
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    std::string m_ip;
    int m_port;
    std::string m_instance;
    milliseconds m_work;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    std::atomic<bool> m_stops{false};
    int m_socket;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

// Where a machine of the deployment stands. All machines use the same ports.
struct ports {
    int outbound = 18304;
    int readiness = 18302;
    int admin = 18306;
    int mesh = 17620;
    int meshBehindProxy = 27620;
    int metrics = 17635;
};

// The settings that deploy/settings.yaml.template makes for the site lidolane-bc or ccw-mesh.
struct deployment {
    std::string folder;
    std::vector<std::string> seeds;
    ports used;
    bool hasProxies = false;
    int memoryMib = 256;
    std::string retryAllowance = "64";

    std::string
    common(const std::string &name, const std::string &zone, const std::string &ip) const
    {
        std::string text = "host: \"" + name + "\"\ndata-centre: \"" + zone + "\"\noperators: \""
            + ip + ":" + std::to_string(used.admin) + "\"\nmesh: \"" + ip + ":"
            + std::to_string(used.mesh) + "\"\nmetrics: \"" + ip + ":"
            + std::to_string(used.metrics) + "\"\nsources: [";
        for (std::size_t index = 0; index < seeds.size(); ++index) {
            text += (index > 0 ? "," : "") + std::string("\"") + seeds[index] + ":"
                + std::to_string(used.admin) + "\"";
        }
        text += "]\nmemory-mib: " + std::to_string(memoryMib)
            + "\ndrain-seconds: \"2\"\nshutdown-seconds: \"6\"\nretry-ratio: \"0.2\"\n"
              "retry-allowance: \""
            + retryAllowance
            + "\"\nretry-window-seconds: \"10\"\nrollout-exposure-ratio: \"0.1\"\n"
              "rollout-exposure-allowance: \"50\"\n";
        if (hasProxies) {
            text += "mesh-listen: \"" + ip + ":" + std::to_string(used.meshBehindProxy) + "\"\n";
        }
        return text;
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string path = folder + "/" + name + ".yaml";
        std::ofstream(path) << text;
        return path;
    }

    std::string dataOf(const std::string &name) const
    {
        return folder + "/data-" + name;
    }

    std::unique_ptr<process> startSource(const std::string &name,
                                         const std::string &zone,
                                         const std::string &ip,
                                         bool bootstrap) const
    {
        std::filesystem::create_directories(dataOf(name));
        const std::string path
            = write(name,
                    common(name, zone, ip) + "source: {data-folder: \"" + dataOf(name)
                        + "\", bootstrap: " + (bootstrap ? "true" : "false") + "}\n");
        return std::make_unique<process>(path, folder + "/" + name + ".log");
    }

    std::unique_ptr<process> startNode(const std::string &name,
                                       const std::string &zone,
                                       const std::string &ip,
                                       const std::string &service) const
    {
        const std::string path
            = write(name,
                    common(name, zone, ip) + "node: {callers: \"" + ip + ":"
                        + std::to_string(used.outbound) + "\", readiness: \"" + ip + ":"
                        + std::to_string(used.readiness) + "\", service: \"" + service + "\"}\n");
        return std::make_unique<process>(path, folder + "/" + name + ".log");
    }
};

inline std::string makeFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string path = std::string(base == nullptr ? "/tmp" : base) + "/jackdawweir-review-XXXXXX";
    return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

// An address block of its own for each run, so that runs do not meet.
inline std::string freeBlock(int port)
{
    std::mt19937 engine(std::random_device{}());
    for (int trial = 0; trial < 50; ++trial) {
        const std::string block = "127." + std::to_string(20 + engine() % 200) + "."
            + std::to_string(1 + engine() % 250) + ".";
        const int probe = listenOn(block + "1", port);
        if (probe >= 0) {
            close(probe);
            return block;
        }
    }
    return "";
}

} // namespace stage
