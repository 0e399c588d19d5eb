// Measures the cost of one committed change, in processor time and bytes sent, by number of
// sources.
//
//     agreement_bench --sources 3,5,7 --changes 2000 --services 97
//
// All replicas run in this process. A message is encoded, counted and decoded as on the mesh port;
// no socket and no disk are involved, so the time measured is that of the state machines and the
// codec.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "jackdawweir/agreement/replica.h"
#include "jackdawweir/source/state_machine.h"
#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/frame.h"

namespace jackdawweir {

namespace {

using namespace std::chrono_literals;

std::chrono::nanoseconds threadTime()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

struct measured_source {
    core::endpoint address;
    std::unique_ptr<agreement::replica> machine;
    source::state_machine state;
    std::chrono::nanoseconds spent{0};
    std::uint64_t sentBytes = 0;
    std::uint64_t sentMessages = 0;
};

// A group of sources without faults. Messages are delivered without delay.
class bench_group
{
public:
    explicit bench_group(std::size_t count)
    {
        core::random_engine engine(count);
        agreement::membership members;
        std::vector<core::endpoint> addresses;
        for (std::size_t index = 0; index < count; ++index) {
            addresses.push_back(core::endpoint{"127.0.0.1:" + std::to_string(7000 + index)});
            members.members.push_back(agreement::member{
                agreement::replica_id{engine()}, addresses.back(), agreement::member_role::Voter});
        }
        for (const agreement::member &each : members.members) {
            agreement::stored_state stored;
            stored.hard = agreement::hard_state{each.id, 0, 1, {}, {}};
            stored.entries.push_back(agreement::entry{
                1, 1, agreement::entry_kind::Membership, wire::encodeValue(members)});
            agreement::replica_settings settings;
            settings.address = each.address;
            settings.sourceAddresses = addresses;
            measured_source &added = m_sources[each.address];
            added.address = each.address;
            added.machine = std::make_unique<agreement::replica>(
                settings, std::move(stored), core::random_engine(engine()));
        }
    }

    void startAndElect()
    {
        for (auto &[address, self] : m_sources) {
            input(self, [this](agreement::replica &machine) { return machine.start(m_now); });
        }
        while (leader() == nullptr) {
            run(20ms);
        }
        run(1s);
    }

    void run(std::chrono::milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += 20ms;
            for (auto &[address, self] : m_sources) {
                input(self, [this](agreement::replica &machine) { return machine.tick(m_now); });
            }
            deliverAll();
        }
    }

    // Proposes one change at the leader and delivers all messages, so that every source commits it.
    void commit(const std::string &command)
    {
        input(*leader(),
              [&](agreement::replica &machine) { return machine.propose(1, command, m_now); });
        deliverAll();
    }

    measured_source *leader()
    {
        for (auto &[address, self] : m_sources) {
            if (self.machine->hasLease(m_now)) {
                return &self;
            }
        }
        return nullptr;
    }

    std::map<core::endpoint, measured_source> &sources()
    {
        return m_sources;
    }

    void resetCounters()
    {
        for (auto &[address, self] : m_sources) {
            self.spent = 0ns;
            self.sentBytes = 0;
            self.sentMessages = 0;
        }
    }

private:
    struct envelope {
        core::endpoint to;
        std::string bytes;
    };

    template<typename Step>
    void input(measured_source &self, Step step)
    {
        const std::chrono::nanoseconds before = threadTime();
        carryOut(self, step(*self.machine));
        self.spent += threadTime() - before;
    }

    void carryOut(measured_source &self, const agreement::effects &effects)
    {
        for (const agreement::effect &each : effects) {
            if (const auto *sent = std::get_if<agreement::send_message>(&each)) {
                std::string frame
                    = wire::encodeFrame(wire::channel::Agreement, {}, wire::encode(sent->body));
                self.sentBytes += frame.size();
                ++self.sentMessages;
                m_network.push_back(envelope{sent->to, std::move(frame)});
            } else if (const auto *batch = std::get_if<agreement::persist>(&each)) {
                carryOut(self, self.machine->persisted(batch->sequence, m_now));
            } else if (const auto *done = std::get_if<agreement::committed_entries>(&each)) {
                apply(self, *done);
            } else if (const auto *wanted = std::get_if<agreement::snapshot_wanted>(&each)) {
                carryOut(self, self.machine->compact(wanted->index, self.state.encode(), m_now));
            }
        }
    }

    static void apply(measured_source &self, const agreement::committed_entries &committed)
    {
        for (const agreement::entry &each : committed.entries) {
            if (each.kind == agreement::entry_kind::Command) {
                (void)self.state.applyEncoded(each.payload, each.term);
            }
        }
    }

    void deliverAll()
    {
        while (!m_network.empty()) {
            const envelope due = std::move(m_network.front());
            m_network.pop_front();
            input(m_sources.at(due.to), [&](agreement::replica &machine) {
                wire::frame_splitter splitter;
                splitter.append(due.bytes);
                const auto decoded
                    = wire::decode<agreement::message>(splitter.next()->payload, due.to);
                return machine.receive(core::valueIn(decoded), m_now);
            });
        }
    }

    core::monotonic_time m_now{std::chrono::hours(1)};
    std::map<core::endpoint, measured_source> m_sources;
    std::deque<envelope> m_network;
};

document::document documentOf(std::size_t services, std::uint64_t number)
{
    document::document_builder builder;
    for (std::size_t index = 0; index < services; ++index) {
        const std::string name = "service-" + std::to_string(index);
        const auto percent = static_cast<std::uint32_t>((number + index) % 100);
        builder.addService(
            name, {{core::version_name{"v1"}, percent}, {core::version_name{"v2"}, 100 - percent}});
        builder.addRoute(
            document::route_builder("route-" + name).pathPrefix("/" + name).service(name).build());
    }
    return builder.build();
}

std::string commandOf(std::size_t services, std::size_t originalBytes, std::uint64_t number)
{
    source::submit_command submitted;
    submitted.submission.value = "submission-" + std::to_string(number);
    submitted.submitter.value = "bench";
    submitted.submitted = documentOf(services, number);
    submitted.original = std::string(originalBytes, 'y');
    return wire::encode(source::command(submitted));
}

void measure(std::size_t count, std::size_t changes, std::size_t services, std::size_t original)
{
    bench_group group(count);
    group.startAndElect();
    std::vector<std::string> commands;
    for (std::uint64_t number = 0; number < changes; ++number) {
        commands.push_back(commandOf(services, original, number));
    }
    group.resetCounters();
    for (const std::string &each : commands) {
        group.commit(each);
    }
    const measured_source &leader = *group.leader();
    std::chrono::nanoseconds followers{0};
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    for (const auto &[address, self] : group.sources()) {
        followers += &self == &leader ? 0ns : self.spent;
        bytes += self.sentBytes;
        messages += self.sentMessages;
    }
    const auto perChange = [changes](auto total) {
        return static_cast<double>(total) / static_cast<double>(changes);
    };
    std::cout << "sources=" << count << " changes=" << changes
              << " command_bytes=" << commands.back().size()
              << " leader_us=" << perChange(leader.spent.count()) / 1000 << " follower_us="
              << perChange(followers.count()) / 1000 / static_cast<double>(count - 1)
              << " bytes_per_change=" << perChange(bytes)
              << " messages_per_change=" << perChange(messages)
              << " changes_held=" << leader.state.version().number;

    group.resetCounters();
    constexpr std::chrono::seconds idle{10};
    group.run(idle);
    bytes = 0;
    for (const auto &[address, self] : group.sources()) {
        bytes += self.sentBytes;
    }
    std::cout << " idle_bytes_per_s=" << static_cast<double>(bytes) / idle.count()
              << " idle_leader_us_per_s="
              << static_cast<double>(group.leader()->spent.count()) / 1000 / idle.count() << "\n";
}

} // namespace

} // namespace jackdawweir

int main(int argc, char **argv)
{
    cxxopts::Options options("agreement_bench", "Cost of one committed change");
    options.add_options()("sources",
                          "numbers of sources",
                          cxxopts::value<std::vector<std::size_t>>()->default_value("3,5,7"))(
        "changes", "changes to commit", cxxopts::value<std::size_t>()->default_value("2000"))(
        "services", "services of the document", cxxopts::value<std::size_t>()->default_value("97"))(
        "original-bytes",
        "size of the operator's file",
        cxxopts::value<std::size_t>()->default_value("20000"))("help", "print this");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    for (const std::size_t count : parsed["sources"].as<std::vector<std::size_t>>()) {
        jackdawweir::measure(count,
                             parsed["changes"].as<std::size_t>(),
                             parsed["services"].as<std::size_t>(),
                             parsed["original-bytes"].as<std::size_t>());
    }
    return 0;
}
