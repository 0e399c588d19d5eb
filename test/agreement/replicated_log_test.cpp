// Tests the driver of a replica with in-memory disks and a simulated network and clock.

#include "jackdawweir/agreement/replicated_log.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/storage/memory_store.h"

namespace jackdawweir::agreement {

using namespace std::chrono_literals;

namespace {

// Three sources with a log each. Messages and posted functions are delivered at the next step.
class log_group
{
public:
    static constexpr std::size_t size = 3;

    log_group()
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_addresses.push_back(core::endpoint{"10.0.0." + std::to_string(index + 1) + ":7000"});
            m_sources.push_back(std::make_unique<source>());
            start(index);
        }
        CPPUNIT_ASSERT(core::isOk(m_sources[0]->log->init()));
    }

    // Starts the process of a source again on its disk.
    void restart(std::size_t index)
    {
        m_sources[index]->log.reset();
        m_sources[index]->posted.clear();
        start(index);
    }

    void run(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds step{20};
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += step) {
            m_clock.advance(step);
            for (const auto &each : m_sources) {
                for (const auto &function : std::exchange(each->posted, {})) {
                    function();
                }
                each->log->tick(m_clock.monotonicNow());
            }
            for (const auto &[to, sent] : std::exchange(m_messages, {})) {
                m_sources[indexOf(to)]->log->handle(sent, m_clock.monotonicNow());
            }
        }
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < size; ++index) {
            if (m_sources[index]->log->leads()) {
                return index;
            }
        }
        return std::nullopt;
    }

    // Proposes a command at the leader. Returns true if it is committed within the time.
    bool commits(const std::string &command, std::chrono::milliseconds within)
    {
        const std::optional<std::size_t> at = leader();
        // Shared, since the log may complete the call after this returns.
        const auto isCommitted = std::make_shared<bool>(false);
        if (at) {
            m_sources[*at]->log->propose(command,
                                         [isCommitted](const core::result<log_position> &decided) {
                                             *isCommitted = core::isOk(decided);
                                         });
        }
        run(within);
        return *isCommitted;
    }

    storage::memory_disk &diskOf(std::size_t index)
    {
        return m_sources[index]->disk;
    }

    const std::vector<std::string> &appliedBy(std::size_t index) const
    {
        return m_sources[index]->applied;
    }

private:
    struct source {
        storage::memory_disk disk;
        std::vector<std::string> applied;
        std::deque<std::function<void()>> posted;
        std::unique_ptr<replicated_log> log;
    };

    void start(std::size_t index)
    {
        source &self = *m_sources[index];
        replicated_log_settings settings;
        settings.openFiles = [&self]() -> core::result<std::unique_ptr<storage::store>> {
            return storage::openMemoryStore(self.disk);
        };
        settings.replica.address = m_addresses[index];
        settings.replica.sourceAddresses = {core::endpoint{"10.0.0.1:7000"},
                                            core::endpoint{"10.0.0.2:7000"},
                                            core::endpoint{"10.0.0.3:7000"}};
        replicated_log_hooks hooks;
        hooks.send = [this](const core::endpoint &to, const message &sent) {
            m_messages.emplace_back(to, sent);
        };
        hooks.post = [&self](std::function<void()> function) {
            self.posted.push_back(std::move(function));
        };
        hooks.apply = [&self](const entry &committed) {
            self.applied.push_back(committed.payload);
        };
        hooks.encodeState = [] {
            return std::string();
        };
        hooks.restoreState = [](std::string_view, std::uint64_t) {
            return core::okStatus();
        };
        hooks.resetState = [&self] {
            self.applied.clear();
        };
        hooks.leadershipChanged = [](bool) {
        };
        hooks.recordEvent = [](const log_event &) {
        };
        self.log = std::make_unique<replicated_log>(settings, m_clock, hooks);
        CPPUNIT_ASSERT(core::isOk(self.log->open()));
    }

    std::size_t indexOf(const core::endpoint &address) const
    {
        const auto found = std::find(m_addresses.begin(), m_addresses.end(), address);
        return static_cast<std::size_t>(found - m_addresses.begin());
    }

    core::manual_clock m_clock;
    std::vector<core::endpoint> m_addresses;
    std::vector<std::unique_ptr<source>> m_sources;
    std::vector<std::pair<core::endpoint, message>> m_messages;
};

} // namespace

class replicated_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replicated_log_test);
    CPPUNIT_TEST(votesAgainOnceAFullDiskHasSpace);
    CPPUNIT_TEST(leadsOnWhenTheDiskOfTheLeaderWasFull);
    CPPUNIT_TEST(recoversFromFullDisksInTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a source that never votes again after its disk was full once, so that the
    // restart of another source leaves no majority.
    void votesAgainOnceAFullDiskHasSpace()
    {
        log_group group;
        group.run(5s);
        const std::size_t follower = (group.leader().value() + 1) % log_group::size;
        group.diskOf(follower).setFull(true);
        CPPUNIT_ASSERT(group.commits("while full", 4'500ms));
        group.diskOf(follower).setFull(false);
        CPPUNIT_ASSERT(group.commits("with space", 13'000ms));
        group.restart((follower + 1) % log_group::size);
        group.run(5s);
        CPPUNIT_ASSERT(group.commits("after the restart", 2s));
        const std::vector<std::string> expected{"while full", "with space", "after the restart"};
        for (std::size_t index = 0; index < log_group::size; ++index) {
            CPPUNIT_ASSERT(group.appliedBy(index) == expected);
        }
    }

    void leadsOnWhenTheDiskOfTheLeaderWasFull()
    {
        log_group group;
        group.run(5s);
        const std::size_t first = group.leader().value();
        group.diskOf(first).setFull(true);
        CPPUNIT_ASSERT(!group.commits("lost with the leader", 3s));
        CPPUNIT_ASSERT(group.leader().has_value() && group.leader() != first);
        group.diskOf(first).setFull(false);
        group.run(3s);
        group.restart((first + 1) % log_group::size);
        group.run(5s);
        CPPUNIT_ASSERT(group.commits("later", 2s));
        CPPUNIT_ASSERT(group.appliedBy(first) == group.appliedBy((first + 1) % log_group::size));
    }

    void recoversFromFullDisksInTurn()
    {
        log_group group;
        group.run(5s);
        for (std::size_t index = 0; index < log_group::size; ++index) {
            group.diskOf(index).setFull(true);
            group.commits("while disk " + std::to_string(index) + " is full", 4'500ms);
            group.diskOf(index).setFull(false);
            group.run(8s);
            CPPUNIT_ASSERT(group.commits("after disk " + std::to_string(index) + " was full", 2s));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replicated_log_test);

} // namespace jackdawweir::agreement
