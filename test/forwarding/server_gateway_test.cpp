#include "jackdawweir/forwarding/server_gateway.h"

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
    CPPUNIT_TEST(tellsThatAServerDidNotRunARequest);
    CPPUNIT_TEST(tellsThatAServerIsGone);
    CPPUNIT_TEST(neverCallsABrokenRequestNotRun);
    CPPUNIT_TEST(resendsAnIdempotentRequestOverAStaleConnection);
    CPPUNIT_TEST(neverResendsAnOrderOverAStaleConnection);
    CPPUNIT_TEST(refusesForADrainedServer);
    CPPUNIT_TEST(sendsNothingToADrainedServerAfterAWait);
    CPPUNIT_TEST(sendsNothingToADrainedServerOverANewConnection);
    CPPUNIT_TEST(sendsNothingToADrainedServerOnceMore);
    CPPUNIT_TEST(servesForAWhileAfterItsNodeBeganToLeave);
    CPPUNIT_TEST(refusesOnceItsNodeHasLeft);
    CPPUNIT_TEST(cancelsAtTheServer);
    CPPUNIT_TEST(abandonsTheRequestsOfALostPeer);
    CPPUNIT_TEST_SUITE_END();

public:
    // A gateway with one server and the answers it gave.
    struct world {
        explicit world(const core::endpoint &server)
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

        // The server's leave began long before the time in which it takes requests was over.
        void drain()
        {
            record.isDraining = true;
            const core::monotonic_time longAgo = clock.monotonicNow() - std::chrono::seconds(2);
            gateway.setServers({hosted_server{record, longAgo}});
        }

        void offer(std::uint64_t number, document::request_kind kind)
        {
            forward_request sent;
            sent.number = number;
            sent.instance = record.instance;
            sent.requestId = "id";
            sent.kind = kind;
            sent.remaining = std::chrono::seconds(20);
            sent.targetRemaining = std::chrono::seconds(10);
            sent.method = "GET";
            sent.target = "/stock/1";
            sent.headers = {{"Host", "shop.example"}};
            gateway.handle(peer, sent, clock.monotonicNow());
        }

        // Offers request 6 once request 5 was answered, over the connection of that one.
        void offerOverAKeptConnection(document::request_kind kind)
        {
            offer(5, kind);
            awaitAnswer();
            offer(6, kind);
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

    void relaysTheServersResponse()
    {
        scripted_server server({{reply("X-Seal: 1\r\n")}});
        world own(server.address());
        own.offer(5, document::request_kind::NonIdempotent);
        const forward_answer answer = own.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, answer.number);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.body);
        CPPUNIT_ASSERT(http::findHeader(answer.headers, "X-Seal") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, own.gateway.openRequests());
    }

    void tellsThatAServerDidNotRunARequest()
    {
        scripted_server server(
            {{"HTTP/1.1 503 Full\r\nJackdawweir-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
        world own(server.address());
        own.offer(5, document::request_kind::NonIdempotent);
        const forward_answer answer = own.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Rejected);
    }

    void tellsThatAServerIsGone()
    {
        world own(core::endpoint{"127.0.0.1:17454"});
        own.offer(5, document::request_kind::NonIdempotent);
        const forward_answer answer = own.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::ServerGone);
        CPPUNIT_ASSERT(!own.gateway.isPresent(own.record.instance));
        CPPUNIT_ASSERT_EQUAL(1, own.presenceChanges);
        own.gateway.noteAnnounced(own.record.instance);
        CPPUNIT_ASSERT(own.gateway.isPresent(own.record.instance));
    }

    // Guards against a refusal that says "not run" for a request that the server had received.
    void neverCallsABrokenRequestNotRun()
    {
        scripted_server server({{"", after_reply::Close}});
        world own(server.address());
        own.offer(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(own.awaitAnswer().outcome == forward_outcome::Unknown);
    }

    void resendsAnIdempotentRequestOverAStaleConnection()
    {
        scripted_server server(
            {{reply(), after_reply::KeepOpen}, {"", after_reply::Close}, {reply()}});
        world own(server.address());
        own.offerOverAKeptConnection(document::request_kind::Idempotent);
        CPPUNIT_ASSERT(own.awaitAnswer(2).outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.requestsReceived());
    }

    // Guards against an order that runs twice because its connection closed as it left.
    void neverResendsAnOrderOverAStaleConnection()
    {
        scripted_server server(
            {{reply(), after_reply::KeepOpen}, {"", after_reply::Close}, {reply()}});
        world own(server.address());
        own.offerOverAKeptConnection(document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(own.awaitAnswer(2).outcome == forward_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
    }

    // Guards against new work for a server that is leaving, whatever other nodes have heard.
    void refusesForADrainedServer()
    {
        scripted_server server({{reply()}});
        world own(server.address());
        own.drain();
        own.offer(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(own.awaitAnswer().reason == forward_reason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requestsReceived());
    }

    // Guards against a waiting request that starts at a server which drained meanwhile.
    void sendsNothingToADrainedServerAfterAWait()
    {
        scripted_server server({{"", after_reply::Hold}, {"", after_reply::Hold}, {reply()}});
        world own(server.address());
        for (std::uint64_t number = 1; number <= 3; ++number) {
            own.offer(number, document::request_kind::NonIdempotent);
        }
        while (server.requestsReceived() < 2) {
            own.context.restart();
            own.context.run_one_for(milliseconds(1));
        }
        own.drain();
        own.gateway.handle(own.peer, forward_cancel{1}, own.clock.monotonicNow());
        const forward_answer answer = own.awaitAnswer();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, answer.number);
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, own.gateway.openRequests());
    }

    void sendsNothingToADrainedServerOverANewConnection()
    {
        scripted_server server({{reply()}});
        world own(server.address());
        own.offer(5, document::request_kind::NonIdempotent);
        own.drain();
        const forward_answer answer = own.awaitAnswer();
        CPPUNIT_ASSERT(answer.outcome == forward_outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == forward_reason::Draining);
        CPPUNIT_ASSERT(own.gateway.isPresent(own.record.instance));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requestsReceived());
    }

    // Guards against a second send over a new connection after the server has drained.
    void sendsNothingToADrainedServerOnceMore()
    {
        scripted_server server(
            {{reply(), after_reply::KeepOpen}, {"", after_reply::Close}, {reply()}});
        world own(server.address());
        own.offerOverAKeptConnection(document::request_kind::Idempotent);
        own.drain();
        CPPUNIT_ASSERT(own.awaitAnswer(2).outcome == forward_outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
    }

    // Guards against refusing requests that other nodes sent before they heard of the leave.
    void servesForAWhileAfterItsNodeBeganToLeave()
    {
        scripted_server server({{reply()}});
        world own(server.address());
        own.gateway.beginLeaving(own.clock.monotonicNow());
        own.offer(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(own.awaitAnswer().outcome == forward_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, own.leaving.size());
        CPPUNIT_ASSERT_EQUAL(std::string("id"), own.leaving[0].requestId);
    }

    void refusesOnceItsNodeHasLeft()
    {
        scripted_server server({{reply()}});
        world own(server.address());
        own.gateway.beginLeaving(own.clock.monotonicNow() - std::chrono::seconds(2));
        own.offer(5, document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(own.awaitAnswer().reason == forward_reason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requestsReceived());
    }

    void cancelsAtTheServer()
    {
        scripted_server server({{"", after_reply::Hold}});
        world own(server.address());
        own.offer(5, document::request_kind::NonIdempotent);
        while (server.requestsReceived() == 0) {
            own.context.restart();
            own.context.run_one_for(milliseconds(5));
        }
        own.gateway.handle(own.peer, forward_cancel{5}, own.clock.monotonicNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, own.gateway.openRequests());
        CPPUNIT_ASSERT(own.answers.empty());
    }

    void abandonsTheRequestsOfALostPeer()
    {
        scripted_server server({{"", after_reply::Hold}});
        world own(server.address());
        for (std::uint64_t number = 1; number <= 4; ++number) {
            own.offer(number, document::request_kind::Idempotent);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, own.gateway.openRequests());
        own.gateway.linkLost(own.peer, own.clock.monotonicNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, own.gateway.openRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_gateway_test);

} // namespace jackdawweir::forwarding
