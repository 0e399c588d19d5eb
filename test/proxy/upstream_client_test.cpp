#include "jackdawweir/proxy/upstream_client.h"

#include <absl/strings/escaping.h>
#include <cppunit/extensions/HelperMacros.h>

#include "support/malformed_headers.h"
#include "support/scripted_server.h"

namespace jackdawweir::proxy {

namespace {

using test::after_reply;
using test::scripted_server;

constexpr const char *wholeReply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquote";

upstream_request get(const scripted_server &server)
{
    upstream_request request;
    request.address = server.address();
    request.method = "GET";
    request.target = "/quotes/1";
    request.timeout = std::chrono::milliseconds(5000);
    return request;
}

void assertState(transfer_state expected, const upstream_result &actual)
{
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(actual.state));
}

} // namespace

class upstream_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_client_test);
    CPPUNIT_TEST(returnsWholeResponse);
    CPPUNIT_TEST(reportsRefusedConnectionAsNotConnected);
    CPPUNIT_TEST(reportsShortBodyAsTruncated);
    CPPUNIT_TEST(reportsBodyWithoutKnownEndAsTruncated);
    CPPUNIT_TEST(reportsUnfinishedChunksAsTruncated);
    CPPUNIT_TEST(neverCompletesAResponseThatEndsEarly);
    CPPUNIT_TEST(reportsUnansweredRequestAsTimedOut);
    CPPUNIT_TEST(reportsClosedConnectionAsLost);
    CPPUNIT_TEST(sendsOnceWhenReuseIsNotAllowed);
    CPPUNIT_TEST(neverReadsLateResponseAsResponseToNextRequest);
    CPPUNIT_TEST(failsOnAnEndlessHeader);
    CPPUNIT_TEST(failsOnAnEndlessBody);
    CPPUNIT_TEST(failsOnAnEndlessChunkSize);
    CPPUNIT_TEST(failsOnEndlessTrailers);
    CPPUNIT_TEST(failsOnEndlessInterimResponses);
    CPPUNIT_TEST(failsOnAStatusThatIsNoFinalResponse);
    CPPUNIT_TEST(failsOnAMalformedStatusLine);
    CPPUNIT_TEST(failsOnAMalformedHeaderName);
    CPPUNIT_TEST(failsOnAMalformedTrailerName);
    CPPUNIT_TEST(failsOnAControlByteInAHeaderValue);
    CPPUNIT_TEST(failsOnABodyThatEndsWithAReset);
    CPPUNIT_TEST_SUITE_END();

public:
    void returnsWholeResponse()
    {
        scripted_server server({{wholeReply, after_reply::Close}});
        const upstream_result sent = upstream_client().send(get(server));
        assertState(transfer_state::Complete, sent);
        CPPUNIT_ASSERT_EQUAL(200U, sent.response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("quote"), sent.response.body);
    }

    // Guards against reporting an attempt as possibly run although it was never sent (P6).
    void reportsRefusedConnectionAsNotConnected()
    {
        upstream_request request;
        request.address = core::endpoint{"127.0.0.1:1"};
        request.method = "GET";
        request.target = "/";
        assertState(transfer_state::NotConnected, upstream_client().send(request));
    }

    // Guards against forwarding a truncated response as complete (P5).
    void reportsShortBodyAsTruncated()
    {
        scripted_server server(
            {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nquote", after_reply::Close}});
        assertState(transfer_state::Truncated, upstream_client().send(get(server)));
    }

    // Guards against a response that is truncated at an arbitrary byte but appears complete (P5).
    void reportsBodyWithoutKnownEndAsTruncated()
    {
        scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nquote", after_reply::Close}});
        assertState(transfer_state::Truncated, upstream_client().send(get(server)));
    }

    // Guards against accepting a chunked response whose last chunk is missing (P5).
    void reportsUnfinishedChunksAsTruncated()
    {
        scripted_server server(
            {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nquote\r\n",
              after_reply::Close}});
        assertState(transfer_state::Truncated, upstream_client().send(get(server)));
    }

    // Guards against a server that stops anywhere in its response, for example within the headers,
    // and closes the connection (P5).
    void neverCompletesAResponseThatEndsEarly()
    {
        const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nSeal: 1\r\n\r\n";
        const std::string empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSeal: 1\r\n\r\n";
        const std::string none = "HTTP/1.1 204 No Content\r\nSeal: 1\r\n\r\n";
        const std::string chunks
            = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: 1\r\n\r\n"
              "6\r\nquotes\r\n0\r\n\r\n";
        for (const std::string &whole : {length + "whole quotes", empty, none}) {
            assertIncompleteUpTo(whole.size(), whole);
        }
        // libcurl takes the last chunk for complete without the final line feed.
        assertIncompleteUpTo(chunks.size() - 1, chunks);
    }

    // Each of these guards against a faulty server that sends bytes until the node runs out of
    // memory or the request out of time.
    void failsOnAnEndlessHeader()
    {
        const std::string line(1000, 'a');
        assertFailsOn("HTTP/1.1 200 OK\r\n", "X-Fill: " + line + "\r\n");
        // libcurl ends these itself.
        assertFailsOn("HTTP/1.1 200 OK\r\nX-Fill: ", line, transfer_state::ConnectionLost);
        assertFailsOn("", line, transfer_state::ConnectionLost);
    }

    void failsOnAnEndlessBody()
    {
        const std::string bytes(1024, 'a');
        assertFailsOn("HTTP/1.1 200 OK\r\n\r\n", bytes);
        assertFailsOn("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "400\r\n" + bytes + "\r\n");
        assertFailsOn("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", bytes);
    }

    void failsOnAnEndlessChunkSize()
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertFailsOn(chunked, std::string(1000, '0'), transfer_state::Truncated);
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

    // Guards against passing a response without a valid status to the caller.
    void failsOnAStatusThatIsNoFinalResponse()
    {
        for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
            scripted_server server(
                {{"HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\nno",
                  after_reply::Close}});
            const upstream_result sent = upstream_client().send(get(server));
            CPPUNIT_ASSERT_MESSAGE(status, sent.state != transfer_state::Complete);
            CPPUNIT_ASSERT_MESSAGE(status, sent.state != transfer_state::NotConnected);
        }
    }

    void failsOnAMalformedStatusLine()
    {
        for (const std::string line : {"HTTP/1.1 2000 OK",
                                       "HTTP/1.1 2 OK",
                                       "HTTP/1.1  200 OK",
                                       "HTTP/1.1 +200 OK",
                                       "HTTP/1.1 200\x01OK",
                                       "HTTP/1.1\t200 OK",
                                       " HTTP/1.1 200 OK",
                                       "HTTP/2 200 OK"}) {
            assertFailsOnHead(line + "\r\nContent-Length: 2");
        }
    }

    // Guards against passing on a header that the server did not send as one, or a body whose
    // length was in such a header.
    void failsOnAMalformedHeaderName()
    {
        for (const std::string &line : test::headersWithAMalformedName()) {
            assertFailsOnHeader(line);
        }
        assertFailsOnHeader("HTTP/1.1: 2");
    }

    void failsOnAMalformedTrailerName()
    {
        for (const std::string trailer :
             {"No te: 1", "Note : 1", " Note: 1", "Note", "HTTP/1.1: 1"}) {
            scripted_server server(
                {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer
                      + "\r\n\r\n",
                  after_reply::Close}});
            CPPUNIT_ASSERT_MESSAGE(
                trailer, upstream_client().send(get(server)).state == transfer_state::Truncated);
        }
    }

    void failsOnAControlByteInAHeaderValue()
    {
        for (const std::string &line : test::headersWithAControlByteInTheValue()) {
            assertFailsOnHeader(line);
        }
    }

    // Guards against forwarding a part of a response as complete (P5), also where the reset arrives
    // while the request is being written.
    void failsOnABodyThatEndsWithAReset()
    {
        constexpr std::size_t uploadBytes = std::size_t{32} << 20U;
        scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nhalf", after_reply::Reset}});
        upstream_request request = get(server);
        for (const std::size_t bodyBytes : {std::size_t{0}, uploadBytes}) {
            request.method = "POST";
            request.body = std::string(bodyBytes, 'b');
            const transfer_state state = upstream_client().send(request).state;
            CPPUNIT_ASSERT(state == transfer_state::Truncated
                           || state == transfer_state::ConnectionLost);
        }
    }

    // Guards against reporting a request as not run although it was sent (P6).
    void reportsUnansweredRequestAsTimedOut()
    {
        scripted_server server({{"", after_reply::Hold}});
        upstream_request request = get(server);
        request.timeout = std::chrono::milliseconds(100);
        assertState(transfer_state::TimedOut, upstream_client().send(request));
    }

    // Guards against reporting a request as not run although it was sent (P6).
    void reportsClosedConnectionAsLost()
    {
        scripted_server server({{"", after_reply::Close}});
        upstream_request request = get(server);
        request.mayReuseConnection = false;
        assertState(transfer_state::ConnectionLost, upstream_client().send(request));
    }

    // Guards against libcurl resending a request by itself after a kept-alive connection was closed
    // (P7).
    void sendsOnceWhenReuseIsNotAllowed()
    {
        scripted_server server({{wholeReply, after_reply::KeepOpen}, {"", after_reply::Close}});
        upstream_client client;
        assertState(transfer_state::Complete, client.send(get(server)));
        upstream_request order = get(server);
        order.mayReuseConnection = false;
        assertState(transfer_state::ConnectionLost, client.send(order));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requestsReceived());
    }

    // Guards against reading the late response to a timed-out request as the response to the next
    // request (P5).
    void neverReadsLateResponseAsResponseToNextRequest()
    {
        scripted_server server(
            {{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla", after_reply::Hold},
             {wholeReply, after_reply::Close}});
        upstream_client client;
        upstream_request request = get(server);
        request.timeout = std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(client.send(request).state != transfer_state::Complete);
        const upstream_result next = client.send(get(server));
        assertState(transfer_state::Complete, next);
        CPPUNIT_ASSERT_EQUAL(std::string("quote"), next.response.body);
    }

private:
    // Checks that a response with this header line, before or after another one, is not complete.
    static void assertFailsOnHeader(const std::string &line)
    {
        const std::string length = "Content-Length: 2";
        assertFailsOnHead("HTTP/1.1 200 OK\r\n" + line + "\r\n" + length);
        assertFailsOnHead("HTTP/1.1 200 OK\r\n" + length + "\r\n" + line);
    }

    static void assertFailsOnHead(const std::string &head)
    {
        scripted_server server({{head + "\r\n\r\nok", after_reply::Close}});
        const transfer_state state = upstream_client().send(get(server)).state;
        CPPUNIT_ASSERT_MESSAGE(absl::CHexEscape(head),
                               state == transfer_state::Truncated
                                   || state == transfer_state::ConnectionLost);
    }

    // Checks that a response of `bytes`, followed by `endless` repeated without end, fails the
    // request before its timeout.
    static void assertFailsOn(const std::string &bytes,
                              const std::string &endless,
                              transfer_state expected = transfer_state::TooLarge)
    {
        scripted_server server({{bytes, after_reply::Close, endless}});
        assertState(expected, upstream_client().send(get(server)));
    }

    // Sends every part of the response that is shorter than `size`, and then closes the connection.
    static void assertIncompleteUpTo(std::size_t size, const std::string &whole)
    {
        for (std::size_t sentBytes = 0; sentBytes < size; ++sentBytes) {
            const std::string part = whole.substr(0, sentBytes);
            scripted_server server({{part, after_reply::Close}});
            const upstream_result sent = upstream_client().send(get(server));
            CPPUNIT_ASSERT_MESSAGE(part,
                                   sent.state == transfer_state::Truncated
                                       || sent.state == transfer_state::ConnectionLost);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_client_test);

} // namespace jackdawweir::proxy
