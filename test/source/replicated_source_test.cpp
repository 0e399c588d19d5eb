#include "jackdawweir/source/state_machine.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "support/cluster_faults.h"

namespace jackdawweir::source {

namespace {

using namespace std::chrono_literals;

// The source's state as a replica applies it, with every result it gave.
class applied_source
{
public:
    void apply(const agreement::entry &committed)
    {
        if (committed.kind != agreement::entry_kind::Command) {
            return;
        }
        const auto applied = m_state.applyEncoded(committed.payload, committed.term);
        test::cluster<applied_source>::require(core::isOk(applied), "commands decode");
    }

    std::string encode() const
    {
        return m_state.encode();
    }

    void restore(const std::string &bytes)
    {
        test::cluster<applied_source>::require(core::isOk(m_state.restore(bytes)),
                                               "a snapshot restores");
    }

    const state_machine &state() const
    {
        return m_state;
    }

private:
    state_machine m_state;
};

using source_cluster = test::cluster<applied_source>;

// Operators that submit through any host, expect the version that host shows, and sometimes resend.
class operators
{
public:
    explicit operators(source_cluster &group)
        : m_group(group)
    {
    }

    std::string command(std::size_t host, unsigned drawn)
    {
        noteResults();
        if (drawn % 4 == 0 && !m_sent.empty()) {
            return wire::encode(source::command(m_sent[drawn / 4 % m_sent.size()]));
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

    // Checks that no replica ever gives a submission another result than the first one seen, and
    // that one submission at most was accepted for each expected version.
    void noteResults()
    {
        for (std::size_t host = 0; host < m_group.size(); ++host) {
            for (const submit_command &each : m_sent) {
                const auto result = m_group.at(host).state.state().findSubmission(each.submission);
                if (result) {
                    noteResult(each, *result);
                }
            }
        }
    }

    // Resends everything and checks that the results stay.
    void resendAll()
    {
        noteResults();
        const std::size_t leader = m_group.leader().value();
        const core::config_version before = m_group.at(leader).state.state().version();
        for (const submit_command &each : m_sent) {
            if (m_results.contains(each.submission)) {
                m_group.propose(leader, wire::encode(source::command(each)));
            }
        }
        m_group.run(2s);
        m_group.settle();
        noteResults();
        source_cluster::require(m_group.at(m_group.leader().value()).state.state().version()
                                    == before,
                                "a resend changes nothing");
    }

private:
    void noteResult(const submit_command &sent, const submission_result &result)
    {
        const auto [known, isNew] = m_results.emplace(sent.submission, result);
        source_cluster::require(isNew || known->second == result,
                                "a submission has one result everywhere and for good");
        if (isNew && result.outcome == submission_outcome::Accepted) {
            const bool isOnly = m_winners.emplace(*sent.expected, sent.submission).second;
            source_cluster::require(isOnly, "an expected version has one winner");
        }
    }

    source_cluster &m_group;
    std::vector<submit_command> m_sent;
    std::map<core::submission_id, submission_result> m_results;
    std::map<core::config_version, core::submission_id> m_winners;
};

void runSchedule(source_cluster &group, const std::vector<test::scheduled_fault> &schedule)
{
    operators submitting(group);
    test::schedule_runner runner(group, [&submitting](std::size_t host, unsigned drawn) {
        return submitting.command(host, drawn);
    });
    runner.run(schedule);
    group.settle();
    submitting.resendAll();
}

} // namespace

class replicated_source_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replicated_source_test);
    CPPUNIT_TEST(keepsResultsUnderRandomFaults);
    CPPUNIT_TEST(formsGroupFromOneInitialisedSource);
    CPPUNIT_TEST(survivesSecondLossRightAfterRepair);
    CPPUNIT_TEST(isolatedLeaderAcceptsNothingAfterLease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a resend that is applied twice or gets another result after a change of
    // leader, a compaction or from another replica, and against two winners of one version.
    void keepsResultsUnderRandomFaults()
    {
        test::checkUnderFaults<applied_source>("operators get one result under random faults",
                                               runSchedule);
    }

    // Guards against a first start that needs more than `init` at one source.
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

    // Guards against a change that is lost when a second host fails just after the first one is
    // back with an empty disk.
    void survivesSecondLossRightAfterRepair()
    {
        source_cluster group(test::cluster_settings{.hosts = 3, .seed = 3});
        group.form();
        group.settle();
        operators submitting(group);
        for (std::size_t lost = 0; lost < group.size(); ++lost) {
            const std::size_t leader = group.leader().value();
            const std::uint64_t change = group.propose(leader, submitting.command(leader, 1));
            group.run(1s);
            CPPUNIT_ASSERT(group.wasCommitted(change));
            group.crash(lost);
            group.at(lost).disk.eraseAll();
            group.settle();
        }
        submitting.resendAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.at(0).state.state().changes().size());
    }

    // Guards against a change that an isolated leader reports as accepted.
    void isolatedLeaderAcceptsNothingAfterLease()
    {
        source_cluster group(test::cluster_settings{.hosts = 3, .seed = 4});
        group.form();
        group.settle();
        const std::size_t isolated = group.leader().value();
        operators submitting(group);
        group.isolate(isolated);
        const std::uint64_t early = group.propose(isolated, submitting.command(isolated, 1));
        group.run(agreement::replica_settings().leaseDuration + 10ms);
        const std::uint64_t late = group.propose(isolated, submitting.command(isolated, 1));
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
