// Measures what the probes of unreachable nodes cost: one node that was cut off from all others
// probes each of them once they are back, and then each of them probes it. Every probe opens a
// link. Both sides are in this process, on loopback, each on its own thread; the times are those of
// the one node's thread.
//
//     probe_bench --hosts 840

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/peer_watch.h"
#include "jackdawweir/transport/mesh_transport.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The interval of checks in a node.
constexpr milliseconds checkInterval{20};
constexpr int firstPort = 20'000;
constexpr int hostsPerAddress = 100;
constexpr std::chrono::seconds timeLimit{60};

nanoseconds threadTime()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + nanoseconds(used.tv_nsec);
}

core::endpoint endpointOf(int host)
{
    return core::endpoint{"127.9." + std::to_string(host / hostsPerAddress)
                          + ".1:" + std::to_string(firstPort + host % hostsPerAddress)};
}

// A node as far as probes need it: it replies to probes, and probes peers in turn.
class probing_node
{
public:
    probing_node(boost::asio::io_context &context, const core::endpoint &own)
        : m_transport(context,
                      own,
                      m_clock,
                      m_hybridClock,
                      [this](const transport::received_message &received) { handle(received); })
        , m_watch(forwarding::peer_watch_settings(),
                  core::random_engine(std::hash<std::string>()(own.value)))
        , m_timer(context)
    {
    }

    bool start()
    {
        return core::isOk(m_transport.start());
    }

    // Regards the peers as unreachable from now on.
    void lose(const std::vector<core::endpoint> &peers)
    {
        for (const core::endpoint &each : peers) {
            m_watch.sent(each, m_clock.monotonicNow());
            m_watch.connectFailed(each, m_clock.monotonicNow());
        }
        scheduleCheck();
    }

    std::size_t unreachable() const
    {
        return m_watch.unreachableCount();
    }

private:
    void scheduleCheck()
    {
        m_timer.expires_after(checkInterval);
        m_timer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                check();
            }
        });
    }

    void check()
    {
        const auto isListed = [](const core::endpoint &) {
            return true;
        };
        for (const core::endpoint &each :
             m_watch.check({}, isListed, m_clock.monotonicNow()).probed) {
            send(each, forwarding::liveness_probe{0});
        }
        if (m_watch.unreachableCount() > 0) {
            scheduleCheck();
        }
    }

    void handle(const transport::received_message &received)
    {
        m_watch.received(received.from, m_clock.monotonicNow());
        const auto decoded = wire::decode<forwarding::message>(received.payload, received.from);
        if (const auto *message = std::get_if<forwarding::message>(&decoded)) {
            if (std::holds_alternative<forwarding::liveness_probe>(*message)) {
                send(received.from, forwarding::liveness_reply{0});
            }
        }
    }

    void send(const core::endpoint &peer, const forwarding::message &sent)
    {
        m_transport.send(peer, wire::channel::Forwarding, wire::encode(sent));
    }

    core::system_clock_source m_clock;
    core::hybrid_clock m_hybridClock;
    transport::mesh_transport m_transport;
    forwarding::peer_watch m_watch;
    boost::asio::steady_timer m_timer;
};

// An event loop on a thread of its own.
class loop_thread
{
public:
    loop_thread()
        : m_work(boost::asio::make_work_guard(context))
        , m_thread([this] { context.run(); })
    {
    }

    ~loop_thread()
    {
        stop();
    }

    loop_thread(const loop_thread &) = delete;
    loop_thread &operator=(const loop_thread &) = delete;

    // Calls the function on the thread and returns its result.
    template<typename Function>
    auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(context, [&task] { task(); });
        return result.get();
    }

    void stop()
    {
        if (m_thread.joinable()) {
            context.stop();
            m_thread.join();
        }
    }

    boost::asio::io_context context{1};

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

struct probe_cost {
    // Until every pair has found each other reachable again.
    milliseconds duration{0};
    nanoseconds processorTime{0};
    // The most processor time of the one node in any span of this bench's sampling interval.
    double peakShare = 0;
};

constexpr milliseconds sampleInterval{200};

// Waits until no node is unreachable, and measures the thread of the one node meanwhile.
probe_cost awaitRecovery(loop_thread &measured, const std::function<std::size_t()> &unreachable)
{
    const auto begunAt = std::chrono::steady_clock::now();
    const nanoseconds usedBefore = measured.run(threadTime);
    nanoseconds usedAtSample = usedBefore;
    probe_cost cost;
    while (unreachable() > 0 && std::chrono::steady_clock::now() < begunAt + timeLimit) {
        std::this_thread::sleep_for(sampleInterval);
        const nanoseconds used = measured.run(threadTime);
        const double share = std::chrono::duration<double>(used - usedAtSample)
            / std::chrono::duration<double>(sampleInterval);
        cost.peakShare = std::max(cost.peakShare, share);
        usedAtSample = used;
    }
    cost.duration
        = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begunAt);
    cost.processorTime = measured.run(threadTime) - usedBefore;
    return cost;
}

// Lets one node probe the others or, if `isProbed`, the others probe it.
std::optional<probe_cost> measure(int hosts, int firstHost, bool isProbed)
{
    loop_thread oneLoop;
    loop_thread otherLoop;
    const core::endpoint own = endpointOf(firstHost);
    probing_node one(oneLoop.context, own);
    std::vector<std::unique_ptr<probing_node>> others;
    std::vector<core::endpoint> peers;
    bool isStarted = oneLoop.run([&] { return one.start(); });
    for (int host = 1; host < hosts && isStarted; ++host) {
        peers.push_back(endpointOf(firstHost + host));
        others.push_back(std::make_unique<probing_node>(otherLoop.context, peers.back()));
        isStarted = otherLoop.run([&] { return others.back()->start(); });
    }
    if (!isStarted) {
        return std::nullopt;
    }
    std::function<std::size_t()> unreachable = [&] {
        return oneLoop.run([&] { return one.unreachable(); });
    };
    if (isProbed) {
        unreachable = [&] {
            return otherLoop.run([&] {
                std::size_t count = 0;
                for (const auto &each : others) {
                    count += each->unreachable();
                }
                return count;
            });
        };
        otherLoop.run([&] {
            for (const auto &each : others) {
                each->lose({own});
            }
            return true;
        });
    } else {
        oneLoop.run([&] {
            one.lose(peers);
            return true;
        });
    }
    const probe_cost cost = awaitRecovery(oneLoop, unreachable);
    oneLoop.stop();
    otherLoop.stop();
    return cost;
}

bool report(const char *what, const std::optional<probe_cost> &cost)
{
    if (!cost) {
        std::fprintf(stderr, "probe_bench: an address is in use\n");
        return false;
    }
    std::printf("%s: recovered after %.1f s, %.1f ms of processor time, at most %.1f%% of a core\n",
                what,
                std::chrono::duration<double>(cost->duration).count(),
                std::chrono::duration<double, std::milli>(cost->processorTime).count(),
                100 * cost->peakShare);
    return true;
}

} // namespace

} // namespace jackdawweir::bench

int main(int argc, char **argv)
{
    cxxopts::Options options("probe_bench", "Measures the probes of unreachable nodes.");
    options.add_options()("hosts", "number of hosts", cxxopts::value<int>()->default_value("840"));
    const int hosts = options.parse(argc, argv)["hosts"].as<int>();
    using namespace jackdawweir::bench;
    const bool isDone = report("the node probes the others", measure(hosts, 0, false))
        && report("the others probe the node", measure(hosts, hosts, true));
    return isDone ? 0 : 1;
}
