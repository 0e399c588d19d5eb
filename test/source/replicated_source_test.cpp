#include "jackdawweir/source/state_machine.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "support/cluster_faults.h"

namespace jackdawweir::source {

namespace {

using namespace std::chrono_literals;

// The state of a source replica, with the results of its submissions, as test::cluster applies
// entries to it.
class replicated_source_state
{
public:
    void apply(const agreement::entry &committed)
    {
        if (committed.kind != agreement::entry_kind::Command) {
            return;
        }
        const auto applied = m_state.applyEncoded(committed.payload, committed.term);
        test::cluster<replicated_source_state>::require(core::isOk(applied), "a command decodes");
    }

    std::string encode() const
    {
        return m_state.encode();
    }

    void restore(const std::string &bytes)
    {
        test::cluster<replicated_source_state>::require(core::isOk(m_state.restore(bytes)),
                                                        "a snapshot can be restored");
    }

    const state_machine &state() const
    {
        return m_state;
    }

private:
    state_machine m_state;
};

using source_cluster = test::cluster<replicated_source_state>;

// Operators that submit documents to any host with the version of that host as the expected one,
// and sometimes resend a submission.
class simulated_operators
{
public:
    explicit simulated_operators(source_cluster &group)
        : m_group(group)
    {
    }

    std::string command(std::size_t host, unsigned randomValue)
    {
        checkResults();
        if (randomValue % 4 == 0 && !m_sent.empty()) {
            return wire::encode(source::command(m_sent[randomValue / 4 % m_sent.size()]));
        }
        submit_command next;
        next.submission.value = std::to_string(m_sent.size());
        next.expected = m_group.at(host).state.state().version();
        next.submitted
            = document::document_builder()
                  .addService("quotes", {{core::version_name{"v" + next.submission.value}, 100}})
                  .build();
        m_sent.push_back(next);
        return wire::encode(source::command(next));
    }

    // Checks that no replica returns a result other than the first one that was observed for a
    // submission, and that at most one submission was accepted for each expected version.
    void checkResults()
    {
        for (std::size_t host = 0; host < m_group.size(); ++host) {
            for (const submit_command &each : m_sent) {
                const auto result = m_group.at(host).state.state().findSubmission(each.submission);
                if (result) {
                    checkResult(each, *result);
                }
            }
        }
    }

    // Resends every submission that has a result, and checks that no result changes.
    void resendAll()
    {
        checkResults();
        const std::size_t leader = m_group.leader().value();
        const core::config_version before = m_group.at(leader).state.state().version();
        for (const submit_command &each : m_sent) {
            if (m_results.contains(each.submission)) {
                m_group.propose(leader, wire::encode(source::command(each)));
            }
        }
        m_group.run(2s);
        m_group.settle();
        checkResults();
        source_cluster::require(m_group.at(m_group.leader().value()).state.state().version()
                                    == before,
                                "a resent submission changes nothing");
    }

private:
    void checkResult(const submit_command &sent, const submission_result &result)
    {
        const auto [known, isNew] = m_results.emplace(sent.submission, result);
        source_cluster::require(
            isNew || known->second == result,
            "a submission has the same result on all replicas and at all times");
        if (isNew && result.outcome == submission_outcome::Accepted) {
            const bool isFirstAccepted
                = m_acceptedByExpected.emplace(*sent.expected, sent.submission).second;
            source_cluster::require(isFirstAccepted,
                                    "at most one submission is accepted for an expected version");
        }
    }

    source_cluster &m_group;
    std::vector<submit_command> m_sent;
    std::map<core::submission_id, submission_result> m_results;
    std::map<core::config_version, core::submission_id> m_acceptedByExpected;
};

void runSchedule(source_cluster &group, const std::vector<test::scheduled_fault> &schedule)
{
    simulated_operators operatorTraffic(group);
    test::schedule_runner runner(group, [&operatorTraffic](std::size_t host, unsigned randomValue) {
        return operatorTraffic.command(host, randomValue);
    });
    runner.run(schedule);
    group.settle();
    operatorTraffic.resendAll();
}

} // namespace

class replicated_source_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replicated_source_test);
    CPPUNIT_TEST(keepsResultsUnderRandomFaults);
    CPPUNIT_TEST(formsGroupFromOneInitialisedSource);
    CPPUNIT_TEST(keepsChangesWhenSecondHostFailsAfterRepair);
    CPPUNIT_TEST(isolatedLeaderAcceptsNothingAfterLeaseExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a resent submission that is applied twice or gets another result after a
    // change of leader, after a compaction or from another replica, and against two submissions
    // that are accepted for the same expected version.
    void keepsResultsUnderRandomFaults()
    {
        test::checkUnderFaults<replicated_source_state>(
            "operators get one result under random faults", runSchedule);
    }

    // Guards against a deployment whose first start needs more than one `init` call at one source.
    void formsGroupFromOneInitialisedSource()
    {
        source_cluster group(test::cluster_settings{.hosts = 3, .seed = 5});
        core::random_engine engine(7);
        const auto files = storage::openMemoryStore(group.at(0).disk);
        CPPUNIT_ASSERT(core::isOk(agreement::initialise(*files, group.at(0).address, engine)));
        CPPUNIT_ASSERT(!core::isOk(agreement::initialise(*files, group.at(0).address, engine)));
        for (std::size_t host = 0; host < group.size(); ++host) {
            group.start(host);
        }
        group.settle();
    }

    // Guards against a committed change that is lost when a second host loses its disk right after
    // the first one has rejoined with an empty disk.
    void keepsChangesWhenSecondHostFailsAfterRepair()
    {
        source_cluster group(test::cluster_settings{.hosts = 3, .seed = 3});
        group.form();
        group.settle();
        simulated_operators operatorTraffic(group);
        for (std::size_t lost = 0; lost < group.size(); ++lost) {
            const std::size_t leader = group.leader().value();
            const std::uint64_t change = group.propose(leader, operatorTraffic.command(leader, 1));
            group.run(1s);
            CPPUNIT_ASSERT(group.wasCommitted(change));
            group.crash(lost);
            group.at(lost).disk.eraseAll();
            group.settle();
        }
        operatorTraffic.resendAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.at(0).state.state().changes().size());
    }

    // Guards against an isolated leader that reports a change as accepted. Until its lease expires
    // it appends changes that are never committed; after that it does not append them.
    void isolatedLeaderAcceptsNothingAfterLeaseExpires()
    {
        source_cluster group(test::cluster_settings{.hosts = 3, .seed = 4});
        group.form();
        group.settle();
        const std::size_t isolated = group.leader().value();
        simulated_operators operatorTraffic(group);
        group.isolate(isolated);
        const std::uint64_t early = group.propose(isolated, operatorTraffic.command(isolated, 1));
        group.run(agreement::replica_settings().leaseDuration + 10ms);
        const std::uint64_t late = group.propose(isolated, operatorTraffic.command(isolated, 1));
        CPPUNIT_ASSERT(group.wasAppended(early));
        CPPUNIT_ASSERT(!group.wasAppended(late));
        CPPUNIT_ASSERT(!group.read(isolated));
        group.run(3s);
        CPPUNIT_ASSERT(group.leader().has_value() && *group.leader() != isolated);
        CPPUNIT_ASSERT(group.read(*group.leader()));
        group.settle();
        CPPUNIT_ASSERT(!group.wasCommitted(early));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replicated_source_test);

} // namespace jackdawweir::source
