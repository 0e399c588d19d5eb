// A group of replicas on in-memory disks with a simulated network and clock. The invariants are
// checked after every event; if one does not hold, an invariant_violation is thrown.
//
//     cluster<State> group(cluster_settings{.hosts = 3, .seed = 1});
//     group.run(2s);
//     group.propose(0, "command");
//     group.settle();
//
// State is the state machine of a host. It must have apply(const agreement::entry &), encode() and
// restore(const std::string &).

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "jackdawweir/agreement/replica.h"
#include "jackdawweir/agreement/replica_store.h"
#include "jackdawweir/core/digest.h"
#include "jackdawweir/storage/memory_store.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::test {

struct invariant_violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct cluster_settings {
    std::size_t hosts = 3;
    std::uint64_t seed = 1;
    std::uint64_t entriesBeforeSnapshot = 8;
};

template<typename State>
class cluster
{
public:
    static constexpr std::chrono::milliseconds step{10};

    struct host {
        core::endpoint address;
        storage::memory_disk disk;
        std::unique_ptr<storage::store> files;
        std::unique_ptr<agreement::replica_store> storage;
        // The replica; null while the process of the host is down.
        std::unique_ptr<agreement::replica> machine;
        State state;
        // The index of the last entry applied to `state`.
        std::uint64_t applied = 0;
        std::deque<std::pair<core::monotonic_time, agreement::persist>> writes;
        std::chrono::milliseconds writeDelay{0};
        core::monotonic_time nextTick;
        bool mustReplaceIdentity = false;
    };

    explicit cluster(cluster_settings settings)
        : m_settings(settings)
        , m_engine(settings.seed)
        , m_now(std::chrono::hours(1))
    {
        for (std::size_t index = 0; index < settings.hosts; ++index) {
            m_hosts.push_back(std::make_unique<host>());
            m_hosts.back()->address.value = "127.0.0.1:" + std::to_string(7000 + index);
            m_sourceAddresses.push_back(m_hosts.back()->address);
        }
    }

    // Writes the disks of a group in which every host is a voter, and starts the hosts.
    void form()
    {
        agreement::membership members;
        for (const core::endpoint &address : m_sourceAddresses) {
            members.members.push_back(agreement::member{
                agreement::replica_id{m_engine()}, address, agreement::member_role::Voter});
        }
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            agreement::persist batch;
            batch.hard = agreement::hard_state{members.members[index].id, 0, 1, {}, {}};
            batch.entries.push_back(agreement::entry{
                1, 1, agreement::entry_kind::Membership, wire::encodeValue(members)});
            const auto files = storage::openMemoryStore(m_hosts[index]->disk);
            const auto opened = agreement::replica_store::open(*files);
            require(core::isOk(opened), "an empty disk opens");
            require(core::isOk(core::valueIn(opened)->write(batch)), "the first write succeeds");
            require(core::isOk(core::valueIn(opened)->sync()), "the first sync succeeds");
        }
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            start(index);
        }
    }

    host &at(std::size_t index)
    {
        return *m_hosts.at(index);
    }

    std::size_t size() const
    {
        return m_hosts.size();
    }

    core::monotonic_time now() const
    {
        return m_now;
    }

    bool isUp(std::size_t index)
    {
        return at(index).machine != nullptr;
    }

    // Starts the process of a host, under a new identity if the disk is lost.
    void start(std::size_t index)
    {
        host &self = at(index);
        self.files = storage::openMemoryStore(self.disk);
        auto opened = agreement::replica_store::open(*self.files);
        if (const core::error *failure = core::errorIn(opened)) {
            require(failure->code == core::error_code::DataLoss, "only a lost disk fails to open");
            require(core::isOk(self.files->discardAll()), "a lost disk can be emptied");
            opened = agreement::replica_store::open(*self.files);
        }
        self.storage = core::valueIn(std::move(opened));
        agreement::replica_settings settings;
        settings.address = self.address;
        settings.sourceAddresses = m_sourceAddresses;
        settings.entriesBeforeSnapshot = m_settings.entriesBeforeSnapshot;
        self.machine = std::make_unique<agreement::replica>(
            settings, self.storage->takeStored(), core::random_engine(m_engine()));
        self.state = State();
        self.applied = 0;
        self.nextTick = m_now;
        self.mustReplaceIdentity = false;
        carryOut(index, self.machine->start(m_now));
    }

    // Ends the process and drops the unsynced data, except for the first `unsyncedKept` bytes of it
    // in each file.
    void crash(std::size_t index, std::size_t unsyncedKept = 0)
    {
        host &self = at(index);
        if (!self.writes.empty() && self.storage) {
            (void)self.storage->write(self.writes.front().second);
        }
        self.writes.clear();
        self.machine.reset();
        self.storage.reset();
        self.files.reset();
        self.disk.crash(unsyncedKept);
    }

    void setLinkCut(std::size_t from, std::size_t to, bool isCut)
    {
        if (isCut) {
            m_cuts.emplace(at(from).address, at(to).address);
        } else {
            m_cuts.erase({at(from).address, at(to).address});
        }
    }

    void isolate(std::size_t index)
    {
        for (std::size_t other = 0; other < size(); ++other) {
            setLinkCut(index, other, true);
            setLinkCut(other, index, true);
        }
    }

    void healNetwork()
    {
        m_cuts.clear();
        lossPercent = 0;
        duplicatePercent = 0;
        maxDelay = step;
    }

    std::uint64_t propose(std::size_t index, const std::string &command)
    {
        const std::uint64_t proposal = ++m_lastProposal;
        if (isUp(index)) {
            carryOut(index, at(index).machine->propose(proposal, command, m_now));
        }
        return proposal;
    }

    // Returns whether the host confirmed a read.
    bool read(std::size_t index)
    {
        const std::size_t before = m_confirmedReads;
        if (isUp(index)) {
            carryOut(index, at(index).machine->confirmRead(++m_lastRead, m_now));
        }
        return m_confirmedReads > before;
    }

    void run(std::chrono::milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += step;
            completeWrites();
            deliver();
            tickAll();
            checkLeases();
        }
    }

    std::optional<std::size_t> leader()
    {
        for (std::size_t index = 0; index < size(); ++index) {
            if (isUp(index) && at(index).machine->hasLease(m_now)) {
                return index;
            }
        }
        return std::nullopt;
    }

    // Returns whether there is a leader, every host is a voter with a confirmed start, all hosts
    // have the same members and all committed entries, and no entry is left to commit.
    bool isHealthy()
    {
        const std::optional<std::size_t> leading = leader();
        if (!leading) {
            return false;
        }
        const agreement::membership members = at(*leading).machine->members();
        bool isHealthy = members.members.size() == size();
        for (std::size_t index = 0; index < size(); ++index) {
            host &self = at(index);
            isHealthy = isHealthy && self.machine && members.isVoter(self.machine->id())
                && (self.machine->role() == agreement::replica_role::Follower || index == *leading)
                && self.machine->members() == members && self.applied == lastCommitted()
                && self.machine->lastPosition().index == self.applied;
        }
        return isHealthy;
    }

    // Ends all faults, restarts stopped hosts and waits until the group is healthy.
    void settle()
    {
        healNetwork();
        for (std::size_t index = 0; index < size(); ++index) {
            at(index).writeDelay = std::chrono::milliseconds(0);
            at(index).disk.clearFaults();
        }
        constexpr std::chrono::seconds recoveryTimeout{60};
        for (const auto end = m_now + recoveryTimeout; m_now < end && !isHealthy();) {
            restartStopped();
            run(step);
        }
        require(isHealthy(), "the group becomes healthy once faults end: " + describe());
    }

    // Returns one line for each host, for failure messages.
    std::string describe()
    {
        std::string text;
        for (std::size_t index = 0; index < size(); ++index) {
            if (!isUp(index)) {
                text += "\n" + std::to_string(index) + " down";
                continue;
            }
            const agreement::replica &self = *at(index).machine;
            text += "\n" + std::to_string(index) + " id=" + std::to_string(self.id().value % 1000)
                + " " + agreement::toString(self.role()) + " term=" + std::to_string(self.term())
                + " last=" + std::to_string(self.lastPosition().term) + "."
                + std::to_string(self.lastPosition().index)
                + " commit=" + std::to_string(self.commitIndex()) + " members=";
            for (const agreement::member &each : self.members().members) {
                text += std::to_string(each.id.value % 1000) + "@" + each.address.value.substr(13)
                    + (each.role == agreement::member_role::Voter ? "v " : "l ");
            }
        }
        return text;
    }

    std::uint64_t lastCommitted() const
    {
        return m_committed.empty() ? 1 : m_committed.rbegin()->first;
    }

    bool wasAppended(std::uint64_t proposal) const
    {
        return m_appended.contains(proposal);
    }

    bool wasCommitted(std::uint64_t proposal) const
    {
        const auto found = m_appended.find(proposal);
        if (found == m_appended.end()) {
            return false;
        }
        const auto committed = m_committed.find(found->second.index);
        return committed != m_committed.end() && committed->second.term == found->second.term;
    }

    static void require(bool holds, const std::string &rule)
    {
        if (!holds) {
            throw invariant_violation(rule);
        }
    }

    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    std::chrono::milliseconds maxDelay{step};

private:
    struct envelope {
        core::endpoint to;
        std::string bytes;
    };

    void restartStopped()
    {
        for (std::size_t index = 0; index < size(); ++index) {
            if (isUp(index) && at(index).machine->role() == agreement::replica_role::Stopped) {
                crash(index);
            }
            if (!isUp(index)) {
                start(index);
            }
        }
    }

    unsigned draw(unsigned limit)
    {
        return static_cast<unsigned>(m_engine() % limit);
    }

    void carryOut(std::size_t index, const agreement::effects &effects)
    {
        for (const agreement::effect &each : effects) {
            std::visit([this, index](const auto &body) { this->carryOut(index, body); }, each);
        }
        if (at(index).mustReplaceIdentity) {
            crash(index);
            const auto files = storage::openMemoryStore(at(index).disk);
            require(core::isOk(files->discardAll()), "a rejected disk can be emptied");
            start(index);
        }
    }

    void carryOut(std::size_t index, const agreement::send_message &sent)
    {
        if (m_cuts.contains({at(index).address, sent.to}) || draw(100) < lossPercent) {
            return;
        }
        const unsigned copies = draw(100) < duplicatePercent ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            const std::chrono::milliseconds delay{1
                                                  + draw(static_cast<unsigned>(maxDelay.count()))};
            m_network.emplace(m_now + delay, envelope{sent.to, wire::encode(sent.body)});
        }
    }

    void carryOut(std::size_t index, const agreement::persist &batch)
    {
        at(index).writes.emplace_back(m_now + at(index).writeDelay, batch);
    }

    void carryOut(std::size_t index, const agreement::committed_entries &committed)
    {
        host &self = at(index);
        for (const agreement::entry &each : committed.entries) {
            require(each.index == self.applied + 1 || self.applied == 0,
                    "entries are committed without gaps");
            const auto [known, isNew] = m_committed.emplace(each.index, each);
            require(isNew || known->second == each, "all replicas commit the same entry");
            self.state.apply(each);
            self.applied = each.index;
            const core::digest digest = core::digestOf(self.state.encode());
            const auto [state, isFirst] = m_states.emplace(each.index, digest);
            require(isFirst || state->second == digest, "equal logs give equal states");
        }
    }

    void carryOut(std::size_t index, const agreement::restore_snapshot &snapshot)
    {
        at(index).state.restore(snapshot.restored.state);
        at(index).applied = snapshot.restored.last.index;
    }

    void carryOut(std::size_t /*index*/, const agreement::proposal_appended &appended)
    {
        m_appended.emplace(appended.proposal, appended.position);
    }

    void carryOut(std::size_t index, const agreement::read_confirmed & /*read*/)
    {
        ++m_confirmedReads;
        require(at(index).applied >= lastCommitted(), "a confirmed read sees every commit");
    }

    void carryOut(std::size_t index, const agreement::role_changed &changed)
    {
        if (changed.role == agreement::replica_role::Leader) {
            const auto id = at(index).machine->id();
            const auto [known, isNew] = m_leaders.emplace(changed.term, id);
            require(isNew || known->second == id, "a term has one leader");
        }
    }

    void carryOut(std::size_t index, const agreement::snapshot_wanted &wanted)
    {
        host &self = at(index);
        carryOut(index, self.machine->compact(wanted.index, self.state.encode(), m_now));
    }

    void carryOut(std::size_t index, const agreement::identity_rejected & /*rejected*/)
    {
        at(index).mustReplaceIdentity = true;
    }

    void carryOut(std::size_t, const agreement::start_unconfirmed &)
    {
    }

    void carryOut(std::size_t, const agreement::proposal_refused &)
    {
    }

    void carryOut(std::size_t, const agreement::read_refused &)
    {
    }

    void completeWrites()
    {
        for (std::size_t index = 0; index < size(); ++index) {
            host &self = at(index);
            while (self.machine && !self.writes.empty() && self.writes.front().first <= m_now) {
                const agreement::persist batch = std::move(self.writes.front().second);
                self.writes.pop_front();
                const bool isWritten
                    = core::isOk(self.storage->write(batch)) && core::isOk(self.storage->sync());
                carryOut(index,
                         isWritten ? self.machine->persisted(batch.sequence, m_now)
                                   : self.machine->persistFailed(batch.sequence, m_now));
            }
        }
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const envelope due = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            for (std::size_t index = 0; index < size(); ++index) {
                if (at(index).address == due.to && isUp(index)) {
                    const auto decoded = wire::decode<agreement::message>(due.bytes, due.to);
                    require(core::isOk(decoded), "messages decode");
                    carryOut(index, at(index).machine->receive(core::valueIn(decoded), m_now));
                }
            }
        }
    }

    void tickAll()
    {
        for (std::size_t index = 0; index < size(); ++index) {
            host &self = at(index);
            if (self.machine && m_now >= self.nextTick) {
                self.nextTick = m_now + agreement::replica_settings().tickInterval;
                carryOut(index, self.machine->tick(m_now));
            }
        }
    }

    void checkLeases()
    {
        std::size_t holders = 0;
        for (std::size_t index = 0; index < size(); ++index) {
            holders += isUp(index) && at(index).machine->hasLease(m_now) ? 1 : 0;
        }
        require(holders <= 1, "one leader at most holds a lease");
    }

    cluster_settings m_settings;
    core::random_engine m_engine;
    core::monotonic_time m_now;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<core::endpoint> m_sourceAddresses;
    std::multimap<core::monotonic_time, envelope> m_network;
    std::set<std::pair<core::endpoint, core::endpoint>> m_cuts;

    std::map<std::uint64_t, agreement::entry> m_committed;
    std::map<std::uint64_t, core::digest> m_states;
    std::map<std::uint64_t, agreement::replica_id> m_leaders;
    std::map<std::uint64_t, agreement::log_position> m_appended;
    std::uint64_t m_lastProposal = 0;
    std::uint64_t m_lastRead = 0;
    std::size_t m_confirmedReads = 0;
};

} // namespace jackdawweir::test
