#include "platform_soak/soak_run.h"

#include <algorithm>
#include <csignal>

#include <boost/beast/http.hpp>

#include "platform_soak/configuration_probes.h"
#include "platform_soak/core_faults.h"
#include "platform_soak/cut_faults.h"
#include "platform_soak/link_faults.h"

namespace jackdawweir::platform_soak {

namespace {

using platform_process_test::mesh_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The shutdown time in the settings of the fleet, plus one second in which the exit is observed.
constexpr milliseconds exitTimeout{7'000};
constexpr unsigned callerCount = 6;

// The longest time for which servers serve on after a leave in cuts, so that the last announcements
// of some arrive long after their node has started again.
constexpr milliseconds longestServiceInCuts{11'000};
constexpr std::uint16_t callerPort = 17504;
constexpr std::uint16_t serverPort = 17600;
constexpr std::uint16_t proxyPort = 17601;

asio::ip::tcp::endpoint at(const std::string &ip, std::uint16_t port)
{
    return {asio::ip::make_address(ip), port};
}

// Sends one request over the socket. Returns false where the connection ended without a response.
bool exchange(asio::ip::tcp::socket &socket, observed_response &observed)
{
    const bool isOrder = observed.target.starts_with("/order/");
    http::request<http::string_body> sent(
        isOrder ? http::verb::post : http::verb::get, observed.target, 11);
    sent.set(http::field::host, "shop.example");
    sent.set("X-Jackdawweir-Attempt-Id", observed.id);
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
    observed.status = received.result_int();
    observed.body = received.body();
    return received.keep_alive();
}

} // namespace

soak_run::soak_run(unsigned seed, fault_plan plan)
    : m_seed(seed)
    , m_plan(plan)
    , m_engine(seed)
    , m_fleet(100 + static_cast<int>(seed % 100))
    , m_journal(m_fleet.folder() / "soak.log")
    , m_disruptions(sourcesOf(m_fleet))
    , m_control(m_fleet, m_disruptions, m_journal)
    , m_operator(m_fleet, m_history, m_journal, seed)
    , m_evacuations(m_fleet, m_journal, seed)
{
}

soak_run::~soak_run()
{
    endThreads();
}

void soak_run::endThreads()
{
    m_isDone = true;
    m_areEvacuationsDone = true;
    if (m_evacuationThread.joinable()) {
        m_evacuationThread.join();
    }
    for (std::thread &each : m_threads) {
        each.join();
    }
    m_threads.clear();
}

unsigned soak_run::randomBelow(unsigned limit)
{
    return m_engine() % limit;
}

void soak_run::addViolation(std::string line)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(std::move(line));
}

void soak_run::start()
{
    if (m_plan == fault_plan::Links || m_plan == fault_plan::Cuts) {
        m_fleet.useProxiesBetweenDataCentres();
    } else if (m_plan == fault_plan::Evacuations) {
        m_fleet.useSeveralDataCentres();
        m_evacuationThread = std::thread([this] { m_evacuations.operate(m_areEvacuationsDone); });
    }
    for (int node = 1; node <= nodeCount; ++node) {
        const std::string ip = m_fleet.nodeIp(node);
        m_backends.push_back(
            std::make_unique<backend_server>(at(ip, serverPort), m_runs, m_seed * nodeCount));
        m_proxies.push_back(std::make_unique<fault_proxy>(at(ip, proxyPort), at(ip, serverPort)));
        m_lifecycles.push_back(std::make_unique<server_lifecycle>(
            m_fleet,
            server_place{node, serviceOfNode(node), ip + ":" + std::to_string(proxyPort)},
            *m_backends.back(),
            *m_proxies.back(),
            m_plan == fault_plan::Cuts ? longestServiceInCuts : usualLongestService,
            m_seed * nodeCount + static_cast<unsigned>(node)));
        m_fleet.startNode(node, serviceOfNode(node));
        m_disruptions.begin(ip, disruption::Down);
        m_disruptions.end(ip);
    }
    m_fleet.startSources(true);
    for (const std::string &source : sourcesOf(m_fleet)) {
        m_disruptions.begin(source, disruption::Down);
        m_disruptions.end(source);
    }
    m_threads.emplace_back([this] { m_operator.operate(m_isDone); });
    for (int node = 1; node <= nodeCount; ++node) {
        m_threads.emplace_back([this, node] {
            probeNode(at(m_fleet.nodeIp(node), callerPort),
                      node,
                      m_history,
                      m_isDone,
                      m_seed + static_cast<unsigned>(node));
        });
    }
    for (const auto &lifecycle : m_lifecycles) {
        m_threads.emplace_back([this, &lifecycle] { lifecycle->simulate(m_isDone); });
    }
    for (unsigned caller = 0; caller < callerCount; ++caller) {
        m_threads.emplace_back([this, caller] { runCaller(caller); });
    }
}

// Sends requests one after the other over a persistent connection, and connects again when it ends.
void soak_run::runCaller(unsigned caller)
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
            observed_response observed;
            observed.id = std::to_string(m_seed) + "-" + std::to_string(caller) + "-"
                + std::to_string(++number);
            observed.target = (engine() % 2 == 0 ? "/order/" : "/stock/") + std::to_string(number);
            isOpen = exchange(socket, observed);
            const bool isRefused = observed.status == 503;
            std::unique_lock lock(m_mutex);
            m_responses.push_back(std::move(observed));
            lock.unlock();
            if (isRefused) {
                std::this_thread::sleep_for(pause);
            }
        }
        std::this_thread::sleep_for(pause);
    }
}

std::string soak_run::randomProcess()
{
    const unsigned index = randomBelow(mesh_fleet::sourceCount + nodeCount);
    return index < mesh_fleet::sourceCount
        ? m_fleet.sourceIp(static_cast<int>(index) + 1)
        : m_fleet.nodeIp(static_cast<int>(index - mesh_fleet::sourceCount) + 1);
}

void soak_run::restart(const std::string &ip)
{
    m_control.start(ip);
    m_faultyProcesses.erase(ip);
}

void soak_run::checkExitAndRestart(const std::string &ip)
{
    const std::optional<int> code = m_fleet.processAt(ip).waitForExit(milliseconds(0));
    if (!code) {
        addViolation(ip + " still runs after its shutdown time");
    } else if (*code != 0) {
        addViolation(ip + " ended with exit code " + std::to_string(*code) + " after SIGTERM");
    }
    m_fleet.kill(ip);
    restart(ip);
}

void soak_run::beginProcessFault(const std::string &ip)
{
    const auto now = soak_clock::now();
    const milliseconds faultDuration(100 + randomBelow(1'500));
    switch (randomBelow(3)) {
    case 0:
        m_control.freeze(ip);
        m_plannedEnds.push_back({now + faultDuration, [this, ip] {
                                     m_control.thaw(ip);
                                     m_faultyProcesses.erase(ip);
                                 }});
        break;
    case 1:
        m_control.kill(ip);
        m_plannedEnds.push_back({now + faultDuration, [this, ip] {
                                     restart(ip);
                                 }});
        break;
    default:
        m_control.stop(ip);
        m_plannedEnds.push_back({now + exitTimeout, [this, ip] {
                                     checkExitAndRestart(ip);
                                 }});
        break;
    }
}

void soak_run::beginRandomFault()
{
    constexpr std::array faults{
        link_fault::Delayed, link_fault::Reset, link_fault::Blocked, link_fault::ResponsesBlocked};
    if (randomBelow(2) == 0) {
        const std::size_t index = randomBelow(nodeCount);
        m_proxies[index]->setFault(faults[randomBelow(faults.size())]);
        m_plannedEnds.push_back(
            {soak_clock::now() + milliseconds(100 + randomBelow(1'500)), [this, index] {
                 m_proxies[index]->setFault(link_fault::None);
             }});
        return;
    }
    const std::string ip = randomProcess();
    if (m_faultyProcesses.insert(ip).second) {
        beginProcessFault(ip);
    }
}

void soak_run::endDueFaults(soak_clock::time_point until)
{
    // The function of a planned end never plans another one, so the list only shrinks here.
    for (std::size_t index = 0; index < m_plannedEnds.size();) {
        if (m_plannedEnds[index].at > until) {
            ++index;
            continue;
        }
        const planned_end due = std::move(m_plannedEnds[index]);
        m_plannedEnds.erase(m_plannedEnds.begin() + static_cast<std::ptrdiff_t>(index));
        due.function();
    }
}

void soak_run::injectFaults(soak_clock::time_point until)
{
    constexpr milliseconds pollInterval{20};
    soak_clock::time_point next = soak_clock::now() + seconds(2);
    while (soak_clock::now() < until || !m_plannedEnds.empty()) {
        const soak_clock::time_point now = soak_clock::now();
        endDueFaults(now);
        if (now >= next && now < until) {
            beginRandomFault();
            next = now + milliseconds(50 + randomBelow(500));
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

void soak_run::killAroundALeave()
{
    constexpr seconds longestWait{8};
    constexpr unsigned longestDownMillis = 900;
    // Longer than the longest delay of an announcement.
    constexpr milliseconds observed = usualLongestService;
    const soak_clock::time_point until = soak_clock::now() + longestWait;
    const auto hasLeft = [](const auto &each) {
        return each->hasLeft();
    };
    auto left = m_lifecycles.end();
    while (left == m_lifecycles.end() && soak_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(5));
        left = std::find_if(m_lifecycles.begin(), m_lifecycles.end(), hasLeft);
    }
    if (left == m_lifecycles.end()) {
        return;
    }
    const auto node = static_cast<int>(left - m_lifecycles.begin()) + 1;
    std::vector<std::string> killed = sourcesOf(m_fleet);
    killed.insert(killed.begin(), m_fleet.nodeIp(node));
    for (const std::string &ip : killed) {
        m_control.kill(ip);
    }
    std::this_thread::sleep_for(milliseconds(100 + randomBelow(longestDownMillis)));
    for (const std::string &ip : killed) {
        restart(ip);
    }
    std::this_thread::sleep_for(observed);
}

void soak_run::restartDuringAnEvacuation()
{
    // Longer than evacuationS, and than the sources need to be back.
    constexpr seconds observed{9};
    m_areEvacuationsDone = true;
    m_evacuationThread.join();
    if (!m_evacuations.begin("b")) {
        addViolation("no source acknowledged an evacuation after all faults ended");
        return;
    }
    for (const std::string &source : sourcesOf(m_fleet)) {
        m_control.kill(source);
    }
    for (const std::string &source : sourcesOf(m_fleet)) {
        m_control.start(source);
    }
    std::this_thread::sleep_for(observed);
    if (!m_evacuations.end()) {
        addViolation("no source acknowledged the end of an evacuation");
    }
}

std::size_t soak_run::evacuations() const
{
    return m_evacuations.spans().size();
}

std::vector<std::string> soak_run::run(seconds time)
{
    start();
    if (m_plan == fault_plan::Core) {
        core_faults(m_fleet, m_control, m_operator, m_history, m_seed)
            .inject(soak_clock::now() + time);
    } else if (m_plan == fault_plan::Links) {
        link_faults(m_fleet, m_control, m_disruptions, m_journal, m_seed)
            .inject(soak_clock::now() + time);
    } else if (m_plan == fault_plan::Cuts) {
        const auto hasLeft = [this](int node) {
            return m_lifecycles.at(static_cast<std::size_t>(node) - 1)->hasLeft();
        };
        cut_faults(m_fleet, m_control, m_disruptions, m_journal, hasLeft, m_seed)
            .inject(soak_clock::now() + time);
    } else {
        injectFaults(soak_clock::now() + time);
    }
    killAroundALeave();
    checkRecovery();
    if (m_plan == fault_plan::Evacuations) {
        restartDuringAnEvacuation();
    }
    endThreads();
    checkReadAfterRestart();
    checkResponses();
    checkLeaves();
    checkEvacuations();
    return m_violations;
}

std::size_t soak_run::requests() const
{
    return m_responses.size();
}

std::size_t soak_run::answered() const
{
    return static_cast<std::size_t>(
        std::count_if(m_responses.begin(), m_responses.end(), [](const observed_response &each) {
            return each.status == 200;
        }));
}

std::size_t soak_run::acceptedChanges() const
{
    return m_history.acknowledgedCount();
}

std::array<std::size_t, 2> soak_run::boundedProbes() const
{
    return m_boundedProbes;
}

std::filesystem::path soak_run::keepFolder()
{
    return m_fleet.keepFolder();
}

} // namespace jackdawweir::platform_soak
