#include "jackdawweir/http/client_connection.h"

#include <functional>
#include <optional>
#include <thread>

#include <absl/strings/escaping.h>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "support/malformed_headers.h"
#include "support/scripted_server.h"

namespace jackdawweir::http {

using test::after_reply;
using test::scripted_server;

class client_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_connection_test);
    CPPUNIT_TEST(sendsSeveralRequestsOverOneConnection);
    CPPUNIT_TEST(acceptsABodyThatEndsWithTheConnection);
    CPPUNIT_TEST(acceptsABodyThatEndsWhileTheRequestIsWritten);
    CPPUNIT_TEST(failsOnATruncatedBody);
    CPPUNIT_TEST(failsOnABodyThatEndsWithAReset);
    CPPUNIT_TEST(failsOnABodyThatEndsWithAResetWhileTheRequestIsWritten);
    CPPUNIT_TEST(failsOnAResponseThatEndsEarly);
    CPPUNIT_TEST(failsOnAMalformedResponse);
    CPPUNIT_TEST(failsOnAStatusThatIsNoFinalResponse);
    CPPUNIT_TEST(failsOnAMalformedHeaderName);
    CPPUNIT_TEST(failsOnAControlByteInAHeaderValue);
    CPPUNIT_TEST(reportsThatNothingWasSent);
    CPPUNIT_TEST(skipsAResponseToAnotherRequest);
    CPPUNIT_TEST(failsAfterAResponseToAnotherRequestThatEndsTheConnection);
    CPPUNIT_TEST(isNotReusedAfterExtraBytes);
    CPPUNIT_TEST(isNotReusedAfterARequestThatWasNotWritten);
    CPPUNIT_TEST(isNotReusedAfterTheStatedIdleTime);
    CPPUNIT_TEST(skipsInterimResponses);
    CPPUNIT_TEST(sendsNothingIfTheRequestMayNotStart);
    CPPUNIT_TEST(failsOnAnEndlessHeader);
    CPPUNIT_TEST(failsOnAnEndlessBody);
    CPPUNIT_TEST(limitsTheTotalMemoryOfAllResponses);
    CPPUNIT_TEST(failsOnAnEndlessChunkSize);
    CPPUNIT_TEST(failsOnEndlessTrailers);
    CPPUNIT_TEST(failsOnEndlessInterimResponses);
    CPPUNIT_TEST(failsOnEndlessResponsesToOtherRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    static request sample()
    {
        return request{"GET", "/stock/1", {{"Host", "shop.example"}}, ""};
    }

    std::shared_ptr<client_connection> connectionTo(const core::endpoint &server)
    {
        return std::make_shared<client_connection>(m_context, server, client_settings{}, m_clock);
    }

    // Returns a request that does not fit into the buffers of a connection.
    static request upload()
    {
        constexpr std::size_t bodyBytes = std::size_t{16} << 20U;
        return request{"POST", "/stock/1", {{"Host", "shop.example"}}, std::string(bodyBytes, 'b')};
    }

    client_result exchangeOver(const std::shared_ptr<client_connection> &connection,
                               bool mayStart = true,
                               const request &sent = sample())
    {
        std::optional<client_result> ended;
        connection->send(
            sent,
            response_identity{"Request-Id", "7"},
            [mayStart] { return mayStart; },
            [&ended](client_result result) { ended = std::move(result); });
        awaitEnd(ended);
        return *ended;
    }

    void awaitEnd(const std::optional<client_result> &ended)
    {
        const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        m_context.restart();
        while (!ended && std::chrono::steady_clock::now() < bound) {
            m_context.run_one_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(ended.has_value());
    }

    static std::string reply(const std::string &body, const std::string &headers = "")
    {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    static const client_failure &failureIn(const client_result &result)
    {
        CPPUNIT_ASSERT(std::holds_alternative<client_failure>(result));
        return std::get<client_failure>(result);
    }

    static const response &responseIn(const client_result &result)
    {
        CPPUNIT_ASSERT(std::holds_alternative<response>(result));
        return std::get<response>(result);
    }

    void sendsSeveralRequestsOverOneConnection()
    {
        const std::string identity = "Request-Id: 7\r\n";
        scripted_server server(
            {{reply("one", identity), after_reply::KeepOpen}, {reply("two", identity)}});
        const auto connection = connectionTo(server.address());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), responseIn(exchangeOver(connection)).body);
        CPPUNIT_ASSERT(connection->isReusable());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), responseIn(exchangeOver(connection)).body);
        connection->close();
    }

    void acceptsABodyThatEndsWithTheConnection()
    {
        scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nto the end", after_reply::Close}});
        const auto connection = connectionTo(server.address());
        CPPUNIT_ASSERT_EQUAL(std::string("to the end"), responseIn(exchangeOver(connection)).body);
        CPPUNIT_ASSERT(!connection->isReusable());
    }

    // Guards against the loss of a response that its server has sent as a whole, but before it has
    // read the request.
    void acceptsABodyThatEndsWhileTheRequestIsWritten()
    {
        for (const after_reply then : {after_reply::EndThenHold, after_reply::EndThenReset}) {
            scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nto the end", then, "", replyDelay}});
            const auto connection = connectionTo(server.address());
            CPPUNIT_ASSERT_EQUAL(std::string("to the end"),
                                 responseIn(exchangeAfterTheEnd(connection, server)).body);
            CPPUNIT_ASSERT(!connection->isReusable());
        }
    }

    // Guards against passing a truncated response to the caller as a complete one.
    void failsOnATruncatedBody()
    {
        scripted_server server(
            {{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", after_reply::Close}});
        CPPUNIT_ASSERT(failureIn(exchangeOver(connectionTo(server.address()))).stage
                       == send_stage::Sent);
    }

    void failsOnABodyThatEndsWithAReset()
    {
        scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nhalf", after_reply::Reset}});
        CPPUNIT_ASSERT(failureIn(exchangeOver(connectionTo(server.address()))).stage
                       == send_stage::Sent);
    }

    // Guards against a reset that the write gets, so that the read gets the end of the connection
    // as if the server had closed it. On a loop with other work, the read may be handled first.
    void failsOnABodyThatEndsWithAResetWhileTheRequestIsWritten()
    {
        constexpr int rounds = 100;
        const request sent = upload();
        scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nhalf", after_reply::Reset}});
        const std::function<void()> otherWork = [&] {
            std::this_thread::sleep_for(std::chrono::microseconds(50));
            boost::asio::post(m_context, otherWork);
        };
        boost::asio::post(m_context, otherWork);
        for (int round = 0; round < rounds; ++round) {
            const auto connection = connectionTo(server.address());
            CPPUNIT_ASSERT(failureIn(exchangeOver(connection, true, sent)).stage
                           == send_stage::Sent);
        }
    }

    // Guards against a server that stops anywhere in its response, for example within the headers,
    // and closes the connection.
    void failsOnAResponseThatEndsEarly()
    {
        const std::string unframedHead = "HTTP/1.1 200 OK\r\nSeal: 1\r\n";
        const std::string chunks
            = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: 1\r\n\r\n"
              "6\r\nquotes\r\n0\r\n\r\n";
        for (const std::string &whole :
             {reply("whole quotes", "Seal: 1\r\n"),
              reply("", "Seal: 1\r\n"),
              "HTTP/1.1 204 No Content\r\n" + std::string("Seal: 1\r\n\r\n"),
              chunks,
              unframedHead + "\r\n"}) {
            for (std::size_t size = 0; size < whole.size(); ++size) {
                scripted_server server({{whole.substr(0, size), after_reply::Close}});
                const client_result result = exchangeOver(connectionTo(server.address()));
                CPPUNIT_ASSERT_MESSAGE(whole.substr(0, size),
                                       std::holds_alternative<client_failure>(result));
                CPPUNIT_ASSERT(failureIn(result).stage == send_stage::Sent);
            }
        }
    }

    void failsOnAMalformedResponse()
    {
        scripted_server server({{"garbage\r\n\r\n", after_reply::Close}});
        CPPUNIT_ASSERT(failureIn(exchangeOver(connectionTo(server.address()))).stage
                       == send_stage::Sent);
    }

    // Guards against passing a response without a valid status to the caller, and against waiting
    // for another response after it.
    void failsOnAStatusThatIsNoFinalResponse()
    {
        for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
            scripted_server server(
                {{"HTTP/1.1 " + status + " Trouble\r\nRequest-Id: 7\r\nContent-Length: 2\r\n\r\nno",
                  after_reply::Hold}});
            const auto connection = connectionTo(server.address());
            std::optional<client_result> ended;
            connection->send(
                sample(),
                response_identity{"Request-Id", "7"},
                [] { return true; },
                [&ended](client_result result) { ended = std::move(result); });
            const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(1);
            m_context.restart();
            while (!ended && std::chrono::steady_clock::now() < bound) {
                m_context.run_one_for(std::chrono::milliseconds(50));
            }
            connection->close();
            CPPUNIT_ASSERT_MESSAGE(status, ended.has_value());
            CPPUNIT_ASSERT_MESSAGE(status, std::holds_alternative<client_failure>(*ended));
            CPPUNIT_ASSERT(failureIn(*ended).stage == send_stage::Sent);
        }
    }

    // Guards against passing on a header that the server did not send as one, or a body whose
    // length was in such a header.
    void failsOnAMalformedHeaderName()
    {
        for (const std::string &line : test::headersWithAMalformedName()) {
            assertFailsOnHeader(line);
        }
    }

    void failsOnAControlByteInAHeaderValue()
    {
        for (const std::string &line : test::headersWithAControlByteInTheValue()) {
            assertFailsOnHeader(line);
        }
    }

    void reportsThatNothingWasSent()
    {
        const client_result result = exchangeOver(connectionTo(core::endpoint{"127.0.0.1:17453"}));
        CPPUNIT_ASSERT(failureIn(result).stage == send_stage::NotSent);
        CPPUNIT_ASSERT(failureIn(result).isRefused);
    }

    // Guards against passing the late second response to an earlier request to the caller.
    void skipsAResponseToAnotherRequest()
    {
        scripted_server server(
            {{reply("other", "Request-Id: 6\r\n") + reply("own", "Request-Id: 7\r\n"),
              after_reply::KeepOpen}});
        const auto connection = connectionTo(server.address());
        CPPUNIT_ASSERT_EQUAL(std::string("own"), responseIn(exchangeOver(connection)).body);
        connection->close();
    }

    // Guards against a request that waits for a response which can no longer arrive.
    void failsAfterAResponseToAnotherRequestThatEndsTheConnection()
    {
        scripted_server server(
            {{"HTTP/1.1 200 OK\r\nRequest-Id: 6\r\n\r\nother", after_reply::Close}});
        CPPUNIT_ASSERT(failureIn(exchangeOver(connectionTo(server.address()))).stage
                       == send_stage::Sent);
    }

    void isNotReusedAfterExtraBytes()
    {
        scripted_server server({{reply("own") + "extra", after_reply::KeepOpen}});
        const auto connection = connectionTo(server.address());
        CPPUNIT_ASSERT_EQUAL(std::string("own"), responseIn(exchangeOver(connection)).body);
        CPPUNIT_ASSERT(!connection->isReusable());
        connection->close();
    }

    // Guards against a further request on a connection that its server has reset.
    void isNotReusedAfterARequestThatWasNotWritten()
    {
        scripted_server server({{reply("own"), after_reply::EndThenReset, "", replyDelay}});
        const auto connection = connectionTo(server.address());
        CPPUNIT_ASSERT_EQUAL(std::string("own"),
                             responseIn(exchangeAfterTheEnd(connection, server)).body);
        CPPUNIT_ASSERT(!connection->isReusable());
    }

    void isNotReusedAfterTheStatedIdleTime()
    {
        scripted_server server(
            {{reply("own", "Keep-Alive: timeout=1\r\n"), after_reply::KeepOpen}});
        const auto connection = connectionTo(server.address());
        exchangeOver(connection);
        CPPUNIT_ASSERT(!connection->isReusable());
        connection->close();
    }

    void skipsInterimResponses()
    {
        scripted_server server(
            {{"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("own"), after_reply::KeepOpen}});
        const auto connection = connectionTo(server.address());
        CPPUNIT_ASSERT_EQUAL(std::string("own"), responseIn(exchangeOver(connection)).body);
        connection->close();
    }

    // Guards against a request that waited for its connection and is then sent too late.
    void sendsNothingIfTheRequestMayNotStart()
    {
        scripted_server server({{reply("one"), after_reply::KeepOpen}, {reply("two")}});
        const auto opening = connectionTo(server.address());
        CPPUNIT_ASSERT(failureIn(exchangeOver(opening, false)).stage == send_stage::NotSent);
        const auto kept = connectionTo(server.address());
        exchangeOver(kept);
        CPPUNIT_ASSERT(failureIn(exchangeOver(kept, false)).stage == send_stage::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requestsReceived());
    }

    // Guards against a server that sends bytes until the node runs out of memory or time.
    void failsOnAnEndlessHeader()
    {
        const std::string line(1000, 'a');
        assertFailsOn("HTTP/1.1 200 OK\r\n", "X-Fill: " + line + "\r\n");
        assertFailsOn("HTTP/1.1 200 OK\r\nX-Fill: ", line);
        assertFailsOn("", line);
    }

    void failsOnAnEndlessBody()
    {
        const std::string bytes(1024, 'a');
        assertFailsOn("HTTP/1.1 200 OK\r\n\r\n", bytes);
        assertFailsOn("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "400\r\n" + bytes + "\r\n");
        assertFailsOn("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", bytes);
    }

    // Guards against large bodies on every connection at once, each of them within the limit of one
    // response.
    void limitsTheTotalMemoryOfAllResponses()
    {
        const std::string large(2U << 20U, 'a');
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n";
        scripted_server holds({{head + large, after_reply::Hold}});
        scripted_server follows({{head, after_reply::Close, large}, {reply("small")}});
        client_settings settings;
        settings.budget = std::make_shared<core::memory_budget>(20U << 20U);
        const auto first
            = std::make_shared<client_connection>(m_context, holds.address(), settings, m_clock);
        first->send(
            sample(), response_identity{}, [] { return true; }, [](const client_result &) {});
        while (settings.budget->used() < large.size()) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(5));
        }
        const auto second
            = std::make_shared<client_connection>(m_context, follows.address(), settings, m_clock);
        CPPUNIT_ASSERT(failureIn(exchangeOver(second)).stage == send_stage::Sent);
        const auto third
            = std::make_shared<client_connection>(m_context, follows.address(), settings, m_clock);
        CPPUNIT_ASSERT_EQUAL(std::string("small"), responseIn(exchangeOver(third)).body);
        first->close();
        third->close();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, settings.budget->used());
    }

    void failsOnAnEndlessChunkSize()
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertFailsOn(chunked, std::string(1000, '0'));
        assertFailsOn(chunked + "1;extension=", std::string(1000, 'a'));
    }

    void failsOnEndlessTrailers()
    {
        assertFailsOn("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                      "X-Fill: " + std::string(1000, 'a') + "\r\n");
    }

    void failsOnEndlessInterimResponses()
    {
        assertFailsOn("", "HTTP/1.1 103 Early Hints\r\nX-Fill: 1\r\n\r\n");
    }

    void failsOnEndlessResponsesToOtherRequests()
    {
        assertFailsOn("", reply("other", "Request-Id: 6\r\n"));
    }

private:
    static constexpr std::chrono::milliseconds replyDelay{50};

    // Checks that a response with this header line, before or after another one, fails the request.
    void assertFailsOnHeader(const std::string &line)
    {
        for (const std::string &lines : {line + "\r\nRequest-Id: 7", "Request-Id: 7\r\n" + line}) {
            scripted_server server(
                {{"HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\nok", after_reply::Close}});
            const client_result result = exchangeOver(connectionTo(server.address()));
            CPPUNIT_ASSERT_MESSAGE(absl::CHexEscape(lines),
                                   std::holds_alternative<client_failure>(result));
            CPPUNIT_ASSERT(failureIn(result).stage == send_stage::Sent);
        }
    }

    // Sends an upload to a server that replies after the delay, and reads no byte of the response
    // before the server has ended the connection.
    client_result exchangeAfterTheEnd(const std::shared_ptr<client_connection> &connection,
                                      const scripted_server &server)
    {
        std::optional<client_result> ended;
        connection->send(
            upload(),
            response_identity{"Request-Id", "7"},
            [] { return true; },
            [&ended](client_result result) { ended = std::move(result); });
        m_context.restart();
        while (server.requestsReceived() == 0) {
            m_context.run_one_for(std::chrono::milliseconds(1));
        }
        // The write goes on until the buffers are full.
        m_context.run_for(replyDelay / 2);
        std::this_thread::sleep_for(2 * replyDelay);
        awaitEnd(ended);
        return *ended;
    }

    // Checks that a response of `bytes`, followed by `endless` repeated without end, fails the
    // request.
    void assertFailsOn(const std::string &bytes, const std::string &endless)
    {
        scripted_server server({{bytes, after_reply::Close, endless}});
        client_settings settings;
        settings.maxBodyBytes = 64U << 10U;
        const auto connection
            = std::make_shared<client_connection>(m_context, server.address(), settings, m_clock);
        const client_result result = exchangeOver(connection);
        connection->close();
        CPPUNIT_ASSERT(failureIn(result).stage == send_stage::Sent);
    }

    boost::asio::io_context m_context;
    core::system_clock_source m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_connection_test);

} // namespace jackdawweir::http
