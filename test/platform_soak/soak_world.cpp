#include "platform_soak/soak_world.h"

#include <algorithm>
#include <csignal>

#include <boost/beast/http.hpp>

namespace jackdawweir::platform_soak {

namespace {

using platform_process_test::call_answer;
using platform_process_test::mesh_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What the platform allows for serving again once all faults have ended.
constexpr seconds recoveryBound{15};
// The shutdown time in the settings of the fleet, and a second for the exit to be seen.
constexpr milliseconds exitBound{7'000};
constexpr unsigned callerCount = 6;
constexpr std::uint16_t callerPort = 17504;
constexpr std::uint16_t serverPort = 17600;
constexpr std::uint16_t proxyPort = 17601;

asio::ip::tcp::endpoint at(const std::string &ip, std::uint16_t port)
{
    return {asio::ip::make_address(ip), port};
}

const char *serviceOf(int node)
{
    return node % 2 == 0 ? "stock" : "desk";
}

std::string changeOf(std::uint64_t version)
{
    return platform_process_test::configuration(version, version % 3 == 0 ? "desk" : "stock");
}

// Sends one request over the socket. Returns false where the connection ended without a response.
bool exchange(asio::ip::tcp::socket &socket, seen_answer &seen)
{
    const bool isOrder = seen.target.starts_with("/order/");
    http::request<http::string_body> sent(
        isOrder ? http::verb::post : http::verb::get, seen.target, 11);
    sent.set(http::field::host, "shop.example");
    sent.set("X-Jackdawweir-Attempt-Id", seen.id);
    sent.set("X-Jackdawweir-Deadline-Ms", "2000");
    sent.prepare_payload();
    boost::system::error_code failure;
    http::write(socket, sent, failure);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> received;
    if (!failure) {
        http::read(socket, buffer, received, failure);
    }
    if (failure) {
        return false;
    }
    seen.status = received.result_int();
    seen.body = received.body();
    return received.keep_alive();
}

} // namespace

soak_world::soak_world(unsigned seed)
    : m_seed(seed)
    , m_engine(seed)
    , m_fleet(100 + static_cast<int>(seed % 100))
{
}

soak_world::~soak_world()
{
    endThreads();
}

void soak_world::endThreads()
{
    m_isDone = true;
    for (std::thread &each : m_threads) {
        each.join();
    }
    m_threads.clear();
}

unsigned soak_world::draw(unsigned limit)
{
    return m_engine() % limit;
}

void soak_world::violate(std::string line)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(std::move(line));
}

void soak_world::start()
{
    for (int node = 1; node <= nodeCount; ++node) {
        const std::string ip = m_fleet.nodeIp(node);
        m_backends.push_back(
            std::make_unique<backend>(at(ip, serverPort), m_runs, m_seed * nodeCount));
        m_proxies.push_back(std::make_unique<fault_proxy>(at(ip, proxyPort), at(ip, serverPort)));
        m_lives.push_back(std::make_unique<server_life>(
            m_fleet,
            server_place{node, serviceOf(node), ip + ":" + std::to_string(proxyPort)},
            *m_backends.back(),
            *m_proxies.back(),
            m_seed * nodeCount + static_cast<unsigned>(node)));
        m_fleet.startNode(node, serviceOf(node));
    }
    m_fleet.startSources(true);
    m_threads.emplace_back([this] { operate(); });
    for (const auto &life : m_lives) {
        m_threads.emplace_back([this, &life] { life->play(m_isDone); });
    }
    for (unsigned caller = 0; caller < callerCount; ++caller) {
        m_threads.emplace_back([this, caller] { call(caller); });
    }
}

// Sends requests one after the other over a kept connection until it ends.
void soak_world::call(unsigned caller)
{
    constexpr milliseconds pause{10};
    std::mt19937 engine(m_seed * callerCount + caller);
    asio::io_context context;
    unsigned number = 0;
    while (!m_isDone) {
        asio::ip::tcp::socket socket(context);
        const int node = 1 + static_cast<int>(engine() % nodeCount);
        boost::system::error_code failure;
        socket.connect(at(m_fleet.nodeIp(node), callerPort), failure);
        bool isOpen = !failure;
        while (isOpen && !m_isDone) {
            seen_answer seen;
            seen.id = std::to_string(m_seed) + "-" + std::to_string(caller) + "-"
                + std::to_string(++number);
            seen.target = (engine() % 2 == 0 ? "/order/" : "/stock/") + std::to_string(number);
            isOpen = exchange(socket, seen);
            const bool isRefused = seen.status == 503;
            std::unique_lock lock(m_mutex);
            m_answers.push_back(std::move(seen));
            lock.unlock();
            if (isRefused) {
                std::this_thread::sleep_for(pause);
            }
        }
        std::this_thread::sleep_for(pause);
    }
}

// Reads the configuration and checks that it is one that was sent, and no older than the newest
// accepted one.
std::optional<std::uint64_t> soak_world::read(int source)
{
    const std::uint64_t accepted = m_accepted;
    const call_answer answer = m_fleet.callSource(source, "GET", "/Config.Read", "");
    if (answer.status != 200) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &[version, text] : m_sentChanges) {
        if (text != answer.body) {
            continue;
        }
        if (version < accepted) {
            m_violations.push_back("read r" + std::to_string(version) + " after r"
                                   + std::to_string(accepted) + " was accepted");
        }
        return version;
    }
    m_violations.push_back("read a configuration that was never sent: "
                           + answer.body.substr(0, 80));
    return std::nullopt;
}

void soak_world::change(std::uint64_t &base)
{
    const std::uint64_t next = base + 1;
    const std::string text = changeOf(next);
    {
        const std::lock_guard lock(m_mutex);
        m_sentChanges[next] = text;
    }
    const call_answer answer
        = m_fleet.callSource(1 + static_cast<int>(next % mesh_fleet::sourceCount),
                             "POST",
                             "/Config.Replace",
                             text,
                             "X-Jackdawweir-Base-Version: r" + std::to_string(base) + "\r\n");
    if (answer.status == 200) {
        base = next;
        m_accepted = next;
        return;
    }
    // The outcome is not known, so the newest version tells.
    for (int source = 1; source <= mesh_fleet::sourceCount; ++source) {
        if (const std::optional<std::uint64_t> held = read(source)) {
            base = *held;
            return;
        }
    }
}

void soak_world::operate()
{
    constexpr milliseconds pause{150};
    std::mt19937 engine(m_seed + 1);
    std::uint64_t base = 0;
    while (!m_isDone) {
        change(base);
        read(1 + static_cast<int>(engine() % mesh_fleet::sourceCount));
        std::this_thread::sleep_for(pause);
    }
}

std::string soak_world::anyProcess()
{
    const unsigned index = draw(mesh_fleet::sourceCount + nodeCount);
    return index < mesh_fleet::sourceCount
        ? m_fleet.sourceIp(static_cast<int>(index) + 1)
        : m_fleet.nodeIp(static_cast<int>(index - mesh_fleet::sourceCount) + 1);
}

void soak_world::restart(const std::string &ip)
{
    for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
        if (m_fleet.sourceIp(index) == ip) {
            m_fleet.startSource(index, false);
        }
    }
    for (int node = 1; node <= nodeCount; ++node) {
        if (m_fleet.nodeIp(node) == ip) {
            m_fleet.startNode(node, serviceOf(node));
        }
    }
    m_disturbed.erase(ip);
}

void soak_world::stopAndRestart(const std::string &ip)
{
    const std::optional<int> code = m_fleet.processAt(ip).waitForExit(milliseconds(0));
    if (!code) {
        violate(ip + " still runs after its shutdown time");
    } else if (*code != 0) {
        violate(ip + " ended with exit code " + std::to_string(*code) + " after SIGTERM");
    }
    m_fleet.kill(ip);
    restart(ip);
}

void soak_world::beginProcessFault(const std::string &ip)
{
    const auto now = soak_clock::now();
    const milliseconds length(100 + draw(1'500));
    switch (draw(3)) {
    case 0:
        m_fleet.processAt(ip).kill(SIGSTOP);
        m_ends.push_back({now + length, [this, ip] {
                              m_fleet.processAt(ip).kill(SIGCONT);
                              m_disturbed.erase(ip);
                          }});
        break;
    case 1:
        m_fleet.kill(ip);
        m_ends.push_back({now + length, [this, ip] {
                              restart(ip);
                          }});
        break;
    default:
        m_fleet.processAt(ip).kill(SIGTERM);
        m_ends.push_back({now + exitBound, [this, ip] {
                              stopAndRestart(ip);
                          }});
        break;
    }
}

void soak_world::beginFault()
{
    constexpr std::array faults{
        link_fault::Delayed, link_fault::Reset, link_fault::Silent, link_fault::ResponsesHeld};
    if (draw(2) == 0) {
        const std::size_t index = draw(nodeCount);
        m_proxies[index]->setFault(faults[draw(faults.size())]);
        m_ends.push_back({soak_clock::now() + milliseconds(100 + draw(1'500)), [this, index] {
                              m_proxies[index]->setFault(link_fault::None);
                          }});
        return;
    }
    const std::string ip = anyProcess();
    if (m_disturbed.insert(ip).second) {
        beginProcessFault(ip);
    }
}

void soak_world::endFaults(soak_clock::time_point until)
{
    // An end may plan nothing further, so the list only shrinks here.
    for (std::size_t index = 0; index < m_ends.size();) {
        if (m_ends[index].at > until) {
            ++index;
            continue;
        }
        const planned_end due = std::move(m_ends[index]);
        m_ends.erase(m_ends.begin() + static_cast<std::ptrdiff_t>(index));
        due.function();
    }
}

void soak_world::playFaults(soak_clock::time_point until)
{
    constexpr milliseconds step{20};
    soak_clock::time_point next = soak_clock::now() + seconds(2);
    while (soak_clock::now() < until || !m_ends.empty()) {
        const soak_clock::time_point now = soak_clock::now();
        endFaults(now);
        if (now >= next && now < until) {
            beginFault();
            next = now + milliseconds(50 + draw(500));
        }
        std::this_thread::sleep_for(step);
    }
}

void soak_world::checkRecovery()
{
    const soak_clock::time_point until = soak_clock::now() + recoveryBound;
    for (int node = 1; node <= nodeCount; ++node) {
        call_answer answer;
        do {
            answer = m_fleet.request(node, "GET", "/stock/1");
            std::this_thread::sleep_for(milliseconds(50));
        } while (answer.status != 200 && soak_clock::now() < until);
        if (answer.status != 200) {
            violate("node " + std::to_string(node)
                    + " serves nothing after all faults ended: " + std::to_string(answer.status));
        }
    }
}

// All sources lose power at once; what was accepted must be there afterwards.
void soak_world::checkFinalRead()
{
    for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
        m_fleet.kill(m_fleet.sourceIp(index));
    }
    m_fleet.startSources(false);
    const soak_clock::time_point until = soak_clock::now() + recoveryBound;
    std::optional<std::uint64_t> held;
    while (!held && soak_clock::now() < until) {
        held = read(1);
        std::this_thread::sleep_for(milliseconds(50));
    }
    if (!held) {
        violate("no configuration can be read after the final restart");
    }
}

void soak_world::checkAnswers()
{
    const std::map<std::string, int> runs = m_runs.counts();
    const std::lock_guard lock(m_mutex);
    for (const seen_answer &seen : m_answers) {
        const auto found = runs.find(seen.id);
        const int count = found == runs.end() ? 0 : found->second;
        const bool isOrder = seen.target.starts_with("/order/");
        const bool saysNotRun
            = seen.status == 429 || seen.status == 503 || seen.status == 408 || seen.status == 421;
        const std::string what = seen.id + " " + seen.target + " status "
            + std::to_string(seen.status) + " ran " + std::to_string(count) + " times";
        if (isOrder && count > 1) {
            m_violations.push_back("ran more than once: " + what);
        }
        if (isOrder && saysNotRun && count > 0) {
            m_violations.push_back("was refused and ran: " + what);
        }
        if (seen.status == 200 && (seen.body != seen.id + " " + seen.target || count == 0)) {
            m_violations.push_back("got another answer: " + what + " body " + seen.body);
        }
        if (seen.status == 404) {
            m_violations.push_back("was denied: " + what);
        }
    }
}

void soak_world::checkLeaves()
{
    for (const auto &each : m_backends) {
        for (const std::string &line : each->lateRequests()) {
            violate(line);
        }
    }
}

std::vector<std::string> soak_world::run(seconds time)
{
    start();
    playFaults(soak_clock::now() + time);
    checkRecovery();
    endThreads();
    checkFinalRead();
    checkAnswers();
    checkLeaves();
    return m_violations;
}

std::size_t soak_world::requests() const
{
    return m_answers.size();
}

std::size_t soak_world::answered() const
{
    return static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(), [](const seen_answer &each) {
            return each.status == 200;
        }));
}

std::uint64_t soak_world::acceptedChanges() const
{
    return m_accepted;
}

std::filesystem::path soak_world::keepFolder()
{
    return m_fleet.keepFolder();
}

} // namespace jackdawweir::platform_soak
