#include "jackdawweir/forwarding/server_gateway.h"

#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using test::after_reply;
using test::scripted_server;

class server_gateway_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_gateway_test);
    CPPUNIT_TEST(relaysTheServersResponse);
    CPPUNIT_TEST(setsTheWorkspaceItself);
    CPPUNIT_TEST(reportsThatAServerDidNotRunARequest);
    CPPUNIT_TEST(skipsARepeatedRefusalOfAnEarlierRequest);
    CPPUNIT_TEST(skipsARepeatedRefusalThatNamesNoRequest);
    CPPUNIT_TEST(sendsARefusedRequestAgainOverAnotherConnection);
    CPPUNIT_TEST(sendsRequestsWithoutAnIdOverTheirOwnConnections);
    CPPUNIT_TEST(reportsThatAServerIsGone);
    CPPUNIT_TEST(reportsABrokenRequestAsUnknown);
    CPPUNIT_TEST(resendsAnIdempotentRequestOverAStaleConnection);
    CPPUNIT_TEST(neverResendsANonIdempotentRequestOverAStaleConnection);
    CPPUNIT_TEST(refusesForADrainedServer);
    CPPUNIT_TEST(refusesAWaitingRequestOnceTheServerIsDrained);
    CPPUNIT_TEST(refusesARequestIfTheServerDrainsBeforeItIsSent);
    CPPUNIT_TEST(resendsNothingToADrainedServer);
    CPPUNIT_TEST(resendsNothingBeyondTheServersLimit);
    CPPUNIT_TEST(servesRequestsWhileOtherNodesLearnOfTheLeave);
    CPPUNIT_TEST(refusesOnceItsNodeHasLeft);
    CPPUNIT_TEST(cancelsARunningRequest);
    CPPUNIT_TEST(abandonsTheRequestsOfALostPeer);
    CPPUNIT_TEST(returnsARecalledRequestThatWaits);
    CPPUNIT_TEST(continuesARecalledRequestThatRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    // A gateway with one server and the answers it gave.
    struct gateway_fixture {
        explicit gateway_fixture(const core::endpoint &server)
            : gateway(
                context,
                gateway_settings{},
                clock,
                gateway_hooks{[this](const core::endpoint &,
                                     const std::string &,
                                     const forward_answer &answer) { answers.push_back(answer); },
                              [this] { ++presenceChanges; },
                              [this](const leaving_request &started) {
                                  leaving.push_back(started);
                              }})
        {
            record.instance.value = "server-1";
            record.address = server;
            record.service.value = "stock";
            record.slots = 2;
            gateway.setServers({hosted_server{record, std::nullopt}});
        }

        // Sets the start of the server's leave so far back that it no longer takes requests.
        void drain()
        {
            record.isDraining = true;
            const core::monotonic_time longAgo = clock.monotonicNow() - std::chrono::seconds(2);
            gateway.setServers({hosted_server{record, longAgo}});
        }

        void sendRequest(std::uint64_t number, document::request_kind kind)
        {
            sendRequest(number, kind, "id-" + std::to_string(number));
        }

        void
        sendRequest(std::uint64_t number, document::request_kind kind, const std::string &requestId)
        {
            forward_request sent;
            sent.number = number;
            sent.instance = record.instance;
            sent.requestId = requestId;
            sent.kind = kind;
            sent.remaining = std::chrono::seconds(20);
            sent.targetRemaining = std::chrono::seconds(10);
            sent.method = "GET";
            sent.target = "/stock/1";
            sent.headers = {{"Host", "shop.example"}};
            gateway.handle(peer, sent, clock.monotonicNow());
        }

        // Sends a request whose headers name another workspace than its caller's.
        void sendWithWorkspace(std::uint64_t number,
                               const std::string &workspace,
                               const std::string &forged)
        {
            forward_request sent;
            sent.number = number;
            sent.instance = record.instance;
            sent.requestId = "id-" + std::to_string(number);
            sent.remaining = std::chrono::seconds(20);
            sent.targetRemaining = std::chrono::seconds(10);
            sent.method = "GET";
            sent.target = "/stock/1";
            sent.headers = {{"Host", "shop.example"}, {"jackdawweir-workspace", forged}};
            sent.workspace.value = workspace;
            gateway.handle(peer, sent, clock.monotonicNow());
        }

        // Sends request 6 after request 5 was answered, over the same connection.
        void sendOverAKeptConnection(document::request_kind kind)
        {
            sendRequest(5, kind);
            awaitAnswer();
            sendRequest(6, kind);
        }

        forward_answer awaitAnswer(std::size_t count = 1)
        {
            const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(10);
            while (answers.size() < count && std::chrono::steady_clock::now() < bound) {
                context.restart();
                context.run_one_for(milliseconds(20));
            }
            CPPUNIT_ASSERT_EQUAL(count, answers.size());
            return answers.back();
        }

        boost::asio::io_context context;
        core::system_clock_source clock;
        std::vector<forward_answer> answers;
        int presenceChanges = 0;
        std::vector<leaving_request> leaving;
        server_gateway gateway;
        fleet::server_record record;
        core::endpoint peer{"10.0.0.9:7000"};
    };

    static std::string reply(const std::string &headers = "")
    {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 2\r\n\r\nok";
    }

    static std::string refusal(const std::string &headers)
    {
        return "HTTP/1.1 503 Full\r\nJackdawweir-Not-Run: 1\r\n" + headers
            + "Content-Length: 0\r\n\r\n";
    }

    static std::string requestIdHeader(const std::string &requestId)
    {
        return "Jackdawweir-Request-Id: " + requestId + "\r\n";
    }

    void relaysTheServersResponse()
    {
        scripted_server server({{reply("X-Seal: 1\r\n")}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        const forward_answer answer = fixture.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, answer.number);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.body);
        CPPUNIT_ASSERT(http::findHeader(answer.headers, "X-Seal") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
    }

    // Guards against a caller that names a workspace of its choice to the server.
    void setsTheWorkspaceItself()
    {
        CPPUNIT_ASSERT(headersSentFor("").find("forged") == std::string::npos);
        const std::string sent = headersSentFor("north");
        CPPUNIT_ASSERT(sent.find("forged") == std::string::npos);
        CPPUNIT_ASSERT(sent.find("Jackdawweir-Workspace: north\r\n") != std::string::npos);
    }

    // Returns what a server gets of a request that names the workspace "forged" itself.
    static std::string headersSentFor(const std::string &workspace)
    {
        scripted_server server({{reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendWithWorkspace(5, workspace, "forged");
        fixture.awaitAnswer();
        return server.lastRequest();
    }

    void reportsThatAServerDidNotRunARequest()
    {
        scripted_server server(
            {{"HTTP/1.1 503 Full\r\nJackdawweir-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        const forward_answer answer = fixture.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Rejected);
    }

    // Guards against telling a caller that an order has not run while its server runs it.
    void skipsARepeatedRefusalOfAnEarlierRequest()
    {
        const std::string refused = refusal(requestIdHeader("id-5"));
        scripted_server server(
            {{refused, after_reply::KeepOpen}, {refused + reply(requestIdHeader("id-6"))}});
        gateway_fixture fixture(server.address());
        fixture.sendOverAKeptConnection(document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connectionsUsed());
    }

    // A refusal that names no request may be that of an earlier one.
    void skipsARepeatedRefusalThatNamesNoRequest()
    {
        scripted_server server(
            {{refusal(""), after_reply::KeepOpen}, {refusal("") + reply(requestIdHeader("id-6"))}});
        gateway_fixture fixture(server.address());
        fixture.sendOverAKeptConnection(document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connectionsUsed());
    }

    // On the connection of the first refusal, a repeated one could not be told from the answer.
    void sendsARefusedRequestAgainOverAnotherConnection()
    {
        scripted_server server({{refusal(requestIdHeader("id-5")), after_reply::KeepOpen},
                                {reply(requestIdHeader("id-5")), after_reply::KeepOpen}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent, "id-5");
        fixture.awaitAnswer();
        fixture.sendRequest(6, document::request_kind::NonIdempotent, "id-5");
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connectionsUsed());
    }

    void sendsRequestsWithoutAnIdOverTheirOwnConnections()
    {
        scripted_server server({{reply(), after_reply::KeepOpen}});
        gateway_fixture fixture(server.address());
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.sendRequest(number, document::request_kind::NonIdempotent, "");
            CPPUNIT_ASSERT(fixture.awaitAnswer(number).outcome == forward_outcome::Answered);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.connectionsUsed());
    }

    void reportsThatAServerIsGone()
    {
        gateway_fixture fixture(core::endpoint{"127.0.0.1:17454"});
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        const forward_answer answer = fixture.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::ServerGone);
        CPPUNIT_ASSERT(!fixture.gateway.isPresent(fixture.record.instance));
        CPPUNIT_ASSERT_EQUAL(1, fixture.presenceChanges);
        fixture.gateway.markPresent(fixture.record.instance);
        CPPUNIT_ASSERT(fixture.gateway.isPresent(fixture.record.instance));
    }

    // Guards against reporting a request as not run that the server had received.
    void reportsABrokenRequestAsUnknown()
    {
        scripted_server server({{"", after_reply::Close}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer().outcome == forward_outcome::Unknown);
    }

    void resendsAnIdempotentRequestOverAStaleConnection()
    {
        scripted_server server(
            {{reply(), after_reply::KeepOpen}, {"", after_reply::Close}, {reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendOverAKeptConnection(document::request_kind::Idempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.requestsReceived());
    }

    // Guards against an order that runs twice because its connection was closed while it was sent.
    void neverResendsANonIdempotentRequestOverAStaleConnection()
    {
        scripted_server server(
            {{reply(), after_reply::KeepOpen}, {"", after_reply::Close}, {reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendOverAKeptConnection(document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
    }

    // Guards against new requests to a server that is leaving, if other nodes don't know this yet.
    void refusesForADrainedServer()
    {
        scripted_server server({{reply()}});
        gateway_fixture fixture(server.address());
        fixture.drain();
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer().reason == forward_reason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requestsReceived());
    }

    // Guards against a waiting request that starts at a server that was drained in the meantime.
    // Guards against requests that run after their caller was told that they did not.
    void returnsARecalledRequestThatWaits()
    {
        scripted_server server({{"", after_reply::Hold}, {"", after_reply::Hold}, {reply()}});
        gateway_fixture fixture(server.address());
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.sendRequest(number, document::request_kind::NonIdempotent);
        }
        while (server.requestsReceived() < 2) {
            fixture.context.restart();
            fixture.context.run_one_for(milliseconds(1));
        }
        fixture.gateway.handle(fixture.peer, forward_recall{3}, fixture.clock.monotonicNow());
        const forward_answer answer = fixture.awaitAnswer();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, answer.number);
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Recalled);
        fixture.gateway.handle(fixture.peer, forward_cancel{1}, fixture.clock.monotonicNow());
        fixture.context.restart();
        fixture.context.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.gateway.openRequests());
    }

    // Guards against a request at work that is broken off.
    void continuesARecalledRequestThatRuns()
    {
        scripted_server server({{reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        fixture.gateway.handle(fixture.peer, forward_recall{5}, fixture.clock.monotonicNow());
        CPPUNIT_ASSERT(fixture.awaitAnswer().outcome == forward_outcome::Answered);
    }

    void refusesAWaitingRequestOnceTheServerIsDrained()
    {
        scripted_server server({{"", after_reply::Hold}, {"", after_reply::Hold}, {reply()}});
        gateway_fixture fixture(server.address());
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.sendRequest(number, document::request_kind::NonIdempotent);
        }
        while (server.requestsReceived() < 2) {
            fixture.context.restart();
            fixture.context.run_one_for(milliseconds(1));
        }
        fixture.drain();
        fixture.gateway.handle(fixture.peer, forward_cancel{1}, fixture.clock.monotonicNow());
        const forward_answer answer = fixture.awaitAnswer();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, answer.number);
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.gateway.openRequests());
    }

    void refusesARequestIfTheServerDrainsBeforeItIsSent()
    {
        scripted_server server({{reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        fixture.drain();
        const forward_answer answer = fixture.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Draining);
        CPPUNIT_ASSERT(fixture.gateway.isPresent(fixture.record.instance));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requestsReceived());
    }

    // Guards against resending a request over a new connection after the server was drained.
    void resendsNothingToADrainedServer()
    {
        scripted_server server(
            {{reply(), after_reply::KeepOpen}, {"", after_reply::Close}, {reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendOverAKeptConnection(document::request_kind::Idempotent);
        fixture.drain();
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
    }

    // Guards against requests beyond the server's limit that are sent again over a new connection.
    void resendsNothingBeyondTheServersLimit()
    {
        scripted_server server({{reply("Jackdawweir-Server-Limit: 1\r\n"), after_reply::KeepOpen},
                                {"", after_reply::Close},
                                {reply()}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::Idempotent);
        fixture.awaitAnswer();
        std::this_thread::sleep_for(milliseconds(1100));
        fixture.sendRequest(6, document::request_kind::Idempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer(2).outcome == forward_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
    }

    // Guards against refusing requests that other nodes sent before they learned of the leave.
    void servesRequestsWhileOtherNodesLearnOfTheLeave()
    {
        scripted_server server({{reply()}});
        gateway_fixture fixture(server.address());
        fixture.gateway.beginLeaving(fixture.clock.monotonicNow());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer().outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.leaving.size());
        CPPUNIT_ASSERT_EQUAL(std::string("id-5"), fixture.leaving[0].requestId);
    }

    void refusesOnceItsNodeHasLeft()
    {
        scripted_server server({{reply()}});
        gateway_fixture fixture(server.address());
        fixture.gateway.beginLeaving(fixture.clock.monotonicNow() - std::chrono::seconds(2));
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(fixture.awaitAnswer().reason == forward_reason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requestsReceived());
    }

    void cancelsARunningRequest()
    {
        scripted_server server({{"", after_reply::Hold}});
        gateway_fixture fixture(server.address());
        fixture.sendRequest(5, document::request_kind::NonIdempotent);
        while (server.requestsReceived() == 0) {
            fixture.context.restart();
            fixture.context.run_one_for(milliseconds(5));
        }
        fixture.gateway.handle(fixture.peer, forward_cancel{5}, fixture.clock.monotonicNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
        CPPUNIT_ASSERT(fixture.answers.empty());
    }

    void abandonsTheRequestsOfALostPeer()
    {
        scripted_server server({{"", after_reply::Hold}});
        gateway_fixture fixture(server.address());
        for (std::uint64_t number = 1; number <= 4; ++number) {
            fixture.sendRequest(number, document::request_kind::Idempotent);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.gateway.openRequests());
        fixture.gateway.linkLost(fixture.peer, fixture.clock.monotonicNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_gateway_test);

} // namespace jackdawweir::forwarding
