// Runs one replica for a test, which takes the role of its peers, its driver and its clock.
//
//     const auto driven = driven_replica::ready(storedLog(2, {}));
//     driven->becomeLeader();
//     driven->acknowledge(second, 2);

#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

#include "jackdawweir/agreement/replica.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement {

using namespace std::chrono_literals;

constexpr replica_id self{1};
constexpr replica_id second{2};
constexpr replica_id third{3};
constexpr std::uint64_t peerNonce = 77;

inline core::endpoint addressOf(replica_id id)
{
    return core::endpoint{"127.0.0.1:700" + std::to_string(id.value)};
}

inline membership threeVoters()
{
    membership members;
    for (const replica_id id : {self, second, third}) {
        members.members.push_back(member{id, addressOf(id), member_role::Voter});
    }
    return members;
}

// Returns a log that begins with the three voters, followed by one command for each given term.
inline stored_state storedLog(std::uint64_t term, const std::vector<std::uint64_t> &commandTerms)
{
    stored_state stored;
    stored.hard = hard_state{self, 1, term, {}, {}};
    stored.entries.push_back(entry{1, 1, entry_kind::Membership, wire::encodeValue(threeVoters())});
    for (const std::uint64_t each : commandTerms) {
        stored.entries.push_back(
            entry{each, stored.entries.size() + 1, entry_kind::Command, "command"});
    }
    return stored;
}

class driven_replica
{
public:
    explicit driven_replica(stored_state stored,
                            std::chrono::milliseconds removeUnreachableAfter
                            = std::chrono::milliseconds(0))
        : m_machine(settings(removeUnreachableAfter), std::move(stored), core::random_engine(1))
    {
        run(m_machine.start(m_now));
    }

    // Returns a replica whose start is confirmed by both peers.
    static std::unique_ptr<driven_replica> ready(stored_state stored)
    {
        const std::uint64_t term = stored.hard.term;
        auto driven = std::make_unique<driven_replica>(std::move(stored));
        driven->confirmStart(term, log_position{1, 1});
        return driven;
    }

    replica &machine()
    {
        return m_machine;
    }

    core::monotonic_time now() const
    {
        return m_now;
    }

    void setSyncing(bool isSyncing)
    {
        m_isSyncing = isSyncing;
    }

    void wait(std::chrono::milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += 20ms;
            run(m_machine.tick(m_now));
        }
    }

    template<typename Message>
    void receive(replica_id from, std::uint64_t term, Message body, std::uint64_t bootCount = 1)
    {
        body.header = message_header{from, addressOf(from), self, bootCount, term};
        run(m_machine.receive(message(body), m_now));
    }

    // Receives a message from a different identity at the address of a peer.
    template<typename Message>
    void receiveFromNew(replica_id from, replica_id peer, Message body, std::uint64_t term = 0)
    {
        body.header = message_header{from, addressOf(peer), replica_id{}, 1, term};
        run(m_machine.receive(message(body), m_now));
    }

    // Receives the notice of a peer's start and returns why it was rejected; empty if it was not.
    std::string rejectionOfStart(replica_id from,
                                 std::uint64_t bootCount,
                                 std::uint64_t nonce,
                                 std::uint64_t term,
                                 log_position last)
    {
        boot_notice notice;
        notice.nonce = nonce;
        notice.last = last;
        receive(from, term, notice, bootCount);
        return lastSent<boot_reply>(from).value().rejection;
    }

    void propose(std::string command = "command")
    {
        run(m_machine.propose(1, std::move(command), m_now));
    }

    void failSync()
    {
        run(m_machine.persistFailed(m_lastSequence, m_now));
    }

    // Returns the newest effect of a type since the last call of clearEffects().
    template<typename Effect>
    std::optional<Effect> lastEffect()
    {
        std::optional<Effect> found;
        for (const effect &each : m_effects) {
            if (const auto *match = std::get_if<Effect>(&each)) {
                found = *match;
            }
        }
        return found;
    }

    // Returns the newest message of a type sent to a peer since the last call of clearEffects().
    template<typename Message>
    std::optional<Message> lastSent(replica_id to)
    {
        std::optional<Message> found;
        for (const effect &each : m_effects) {
            const auto *sending = std::get_if<send_message>(&each);
            if (sending != nullptr && sending->to == addressOf(to)) {
                if (const auto *match = std::get_if<Message>(&sending->body)) {
                    found = *match;
                }
            }
        }
        return found;
    }

    void clearEffects()
    {
        m_effects.clear();
    }

    // Replies to the boot notice as a peer with the given term and the given end of its log.
    void confirmStart(replica_id from, std::uint64_t term, log_position last)
    {
        boot_reply reply;
        reply.nonce = nonce();
        reply.last = last;
        reply.membershipIndex = 1;
        reply.members = threeVoters();
        receive(from, term, reply);
    }

    void confirmStart(std::uint64_t term, log_position last)
    {
        confirmStart(second, term, last);
        confirmStart(third, term, last);
    }

    // Waits for the election timeout and grants the pre-vote and the vote.
    void becomeLeader()
    {
        wait(1300ms);
        grantVote(true);
        grantVote(false);
        CPPUNIT_ASSERT(m_machine.role() == replica_role::Leader);
    }

    void grantVote(bool isPreVote)
    {
        vote_reply granted;
        granted.isPreVote = isPreVote;
        granted.isGranted = true;
        granted.requestTerm = m_machine.term() + (isPreVote ? 1 : 0);
        receive(second, m_machine.term(), granted);
    }

    // Acknowledges entries up to an index as a peer.
    void acknowledge(replica_id from, std::uint64_t index, std::uint64_t bootCount = 1)
    {
        append_reply reply;
        reply.isAccepted = true;
        reply.isCounted = true;
        reply.matchIndex = index;
        reply.sentAt = m_now.time_since_epoch();
        receive(from, m_machine.term(), reply, bootCount);
    }

    // Returns the nonce of this start.
    std::uint64_t nonce()
    {
        if (m_nonce == 0) {
            m_nonce = lastSent<boot_notice>(second).value().nonce;
        }
        return m_nonce;
    }

    // Returns whether the replica grants a vote request with the given term in its header. For a
    // pre-vote this is the term before the one the vote is for.
    bool grants(replica_id candidate, std::uint64_t term, log_position last, bool isPreVote = false)
    {
        clearEffects();
        vote_request request;
        request.isPreVote = isPreVote;
        request.last = last;
        receive(candidate, term, request);
        const std::optional<vote_reply> reply = lastSent<vote_reply>(candidate);
        return reply && reply->isGranted;
    }

private:
    static replica_settings settings(std::chrono::milliseconds removeUnreachableAfter)
    {
        replica_settings settings;
        settings.removeUnreachableAfter = removeUnreachableAfter;
        settings.address = addressOf(self);
        settings.sourceAddresses = {addressOf(self), addressOf(second), addressOf(third)};
        return settings;
    }

    void run(const effects &done)
    {
        for (const effect &each : done) {
            m_effects.push_back(each);
            if (const auto *batch = std::get_if<persist>(&each)) {
                m_lastSequence = batch->sequence;
            }
        }
        const bool isWaiting = m_lastSequence > m_syncedSequence;
        if (m_isSyncing && isWaiting) {
            m_syncedSequence = m_lastSequence;
            run(m_machine.persisted(m_lastSequence, m_now));
        }
    }

    core::monotonic_time m_now{std::chrono::hours(1)};
    replica m_machine;
    effects m_effects;
    bool m_isSyncing = true;
    std::uint64_t m_nonce = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_syncedSequence = 0;
};

} // namespace jackdawweir::agreement
