// A group of sources, each the driver of a replica on an in-memory disk, with a simulated network
// and clock.
//
//     log_group group({.sources = 3, .seed = 1});
//     group.run(5s);
//     group.diskOf(0).setFull(true);
//     CPPUNIT_ASSERT(group.commits("command", 2s));

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/agreement/replicated_log.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/storage/memory_store.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::test {

struct log_group_settings {
    std::size_t sources = 3;
    std::uint64_t seed = 1;
    // The first source becomes the first voter.
    bool isInitialised = true;
    // The timing and limits of each replica; the addresses are filled in.
    agreement::replica_settings replica;
};

// Messages and posted functions are delivered at the next step.
class log_group
{
public:
    static constexpr std::chrono::milliseconds step{20};

    explicit log_group(log_group_settings settings = {})
        : m_settings(std::move(settings))
        , m_engine(m_settings.seed)
    {
        for (std::size_t index = 0; index < m_settings.sources; ++index) {
            m_addresses.push_back(core::endpoint{"10.0.0." + std::to_string(index + 1) + ":7000"});
            m_sources.push_back(std::make_unique<source>());
        }
        for (std::size_t index = 0; index < m_settings.sources; ++index) {
            start(index);
        }
        if (m_settings.isInitialised) {
            CPPUNIT_ASSERT(core::isOk(init(0)));
        }
    }

    std::size_t size() const
    {
        return m_sources.size();
    }

    // Starts the process of a source again on its disk.
    void restart(std::size_t index)
    {
        stop(index);
        start(index);
    }

    core::status init(std::size_t index)
    {
        return m_sources[index]->log->init();
    }

    // Ends the process of a source for good.
    void stop(std::size_t index)
    {
        m_sources[index]->log.reset();
        m_sources[index]->posted.clear();
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += step) {
            m_clock.advance(step);
            for (const auto &each : m_sources) {
                for (const auto &function : std::exchange(each->posted, {})) {
                    function();
                }
                if (each->log != nullptr) {
                    each->log->tick(m_clock.monotonicNow());
                }
            }
            for (const auto &[to, sent] : std::exchange(m_messages, {})) {
                source &receiver = *m_sources[indexOf(to)];
                if (receiver.log != nullptr) {
                    receiver.log->handle(sent, m_clock.monotonicNow());
                }
            }
        }
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < size(); ++index) {
            if (m_sources[index]->log != nullptr && m_sources[index]->log->leads()) {
                return index;
            }
        }
        return std::nullopt;
    }

    std::size_t voters() const
    {
        const std::optional<std::size_t> at = leader();
        return at ? m_sources[*at]->log->members().voters().size() : 0;
    }

    // Returns whether the leader counts a source among the voters.
    bool isVoter(std::size_t index) const
    {
        const std::optional<std::size_t> at = leader();
        if (!at) {
            return false;
        }
        const std::vector<agreement::member> voters = m_sources[*at]->log->members().voters();
        return std::any_of(voters.begin(), voters.end(), [&](const agreement::member &each) {
            return each.address == m_addresses[index];
        });
    }

    // Proposes a command at the leader. The result turns true once the command is committed.
    std::shared_ptr<const bool> propose(const std::string &command)
    {
        const std::optional<std::size_t> at = leader();
        // Shared, since the log may complete the call after this returns.
        const auto isCommitted = std::make_shared<bool>(false);
        if (at) {
            m_sources[*at]->log->propose(
                command, [isCommitted](const core::result<agreement::log_position> &decided) {
                    *isCommitted = core::isOk(decided);
                });
        }
        return isCommitted;
    }

    // Proposes a command at the leader. Returns true if it is committed within the time.
    bool commits(const std::string &command, std::chrono::milliseconds within)
    {
        const std::shared_ptr<const bool> isCommitted = propose(command);
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
        std::unique_ptr<agreement::replicated_log> log;
    };

    void start(std::size_t index)
    {
        source &self = *m_sources[index];
        agreement::replicated_log_settings settings;
        settings.openFiles = [&self]() -> core::result<std::unique_ptr<storage::store>> {
            return storage::openMemoryStore(self.disk);
        };
        settings.replica = m_settings.replica;
        settings.replica.address = m_addresses[index];
        settings.replica.sourceAddresses = m_addresses;
        settings.seed = m_engine();
        self.log = std::make_unique<agreement::replicated_log>(settings, m_clock, hooksOf(self));
        CPPUNIT_ASSERT(core::isOk(self.log->open()));
    }

    agreement::replicated_log_hooks hooksOf(source &self)
    {
        agreement::replicated_log_hooks hooks;
        hooks.send = [this](const core::endpoint &to, const agreement::message &sent) {
            m_messages.emplace_back(to, sent);
        };
        hooks.post = [&self](std::function<void()> function) {
            self.posted.push_back(std::move(function));
        };
        hooks.apply = [&self](const agreement::entry &committed) {
            self.applied.push_back(committed.payload);
        };
        hooks.encodeState = [&self] {
            return wire::encodeValue(self.applied);
        };
        hooks.restoreState = [&self](std::string_view state, std::uint64_t) -> core::status {
            core::result<std::vector<std::string>> decoded
                = wire::decodeValue<std::vector<std::string>>(state);
            if (const core::error *failure = core::errorIn(decoded)) {
                return *failure;
            }
            self.applied = core::valueIn(std::move(decoded));
            return core::okStatus();
        };
        hooks.resetState = [&self] {
            self.applied.clear();
        };
        hooks.leadershipChanged = [](bool) {
        };
        hooks.recordEvent = [](const agreement::log_event &) {
        };
        return hooks;
    }

    std::size_t indexOf(const core::endpoint &address) const
    {
        const auto found = std::find(m_addresses.begin(), m_addresses.end(), address);
        return static_cast<std::size_t>(found - m_addresses.begin());
    }

    log_group_settings m_settings;
    core::random_engine m_engine;
    core::manual_clock m_clock;
    std::vector<core::endpoint> m_addresses;
    std::vector<std::unique_ptr<source>> m_sources;
    std::vector<std::pair<core::endpoint, agreement::message>> m_messages;
};

} // namespace jackdawweir::test
