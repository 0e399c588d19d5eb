// Tests which replies of the sources the client of the consoles takes.

#include "daemon/source_client.h"

#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

const core::endpoint sourceEndpoint{"10.0.0.1:7000"};

// One start of the client, with the last request that it sent.
struct started_client {
    std::uint64_t submit(submit_handler done)
    {
        subject.submit(submit_request{}, std::move(done), clock.monotonicNow());
        return std::get<submit_request>(last).requestId;
    }

    std::uint64_t requestState(state_handler done)
    {
        subject.requestState(std::move(done), clock.monotonicNow());
        return std::get<state_request>(last).requestId;
    }

    void receive(const control_message &received)
    {
        subject.handle(sourceEndpoint, received, clock.monotonicNow());
    }

    core::manual_clock clock;
    control_message last;
    source_client subject{
        {sourceEndpoint},
        [this](const core::endpoint &peer, wire::channel, const std::string &payload) {
            last = core::valueIn(wire::decode<control_message>(payload, peer));
        }};
};

submit_reply replyTo(std::uint64_t requestId, source::submission_outcome outcome)
{
    submit_reply reply;
    reply.requestId = requestId;
    reply.result.outcome = outcome;
    return reply;
}

} // namespace

class source_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_client_test);
    CPPUNIT_TEST(completesNoSubmissionWithTheReplyToOneOfAnEarlierStart);
    CPPUNIT_TEST(completesNoReadWithTheReplyToOneOfAnEarlierStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a document that an operator is told is accepted, although it lost its race.
    void completesNoSubmissionWithTheReplyToOneOfAnEarlierStart()
    {
        started_client earlier;
        started_client later;
        std::optional<source::submission_outcome> outcome;
        const std::uint64_t old = earlier.submit([](const auto &) {});
        const std::uint64_t current = later.submit(
            [&outcome](const auto &decided) { outcome = core::valueIn(decided).outcome; });
        later.receive(replyTo(old, source::submission_outcome::Accepted));
        CPPUNIT_ASSERT(!outcome);
        later.receive(replyTo(current, source::submission_outcome::Conflict));
        CPPUNIT_ASSERT(outcome == source::submission_outcome::Conflict);
    }

    // Guards against a console that shows an older state than it has shown before.
    void completesNoReadWithTheReplyToOneOfAnEarlierStart()
    {
        started_client earlier;
        started_client later;
        std::optional<std::string> shown;
        state_reply old;
        old.requestId = earlier.requestState([](const auto &) {});
        state_reply current;
        current.requestId = later.requestState(
            [&shown](const auto &state) { shown = core::valueIn(state).original; });
        current.original = "current";
        later.receive(old);
        CPPUNIT_ASSERT(!shown);
        later.receive(current);
        CPPUNIT_ASSERT_EQUAL(std::string("current"), shown.value_or(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_client_test);

} // namespace jackdawweir::daemon
