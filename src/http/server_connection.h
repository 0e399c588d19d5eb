// One connection of a caller. Pipelined requests are handled concurrently, and their responses are
// sent in the order of the requests.

#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/http/listener.h"

namespace jackdawweir::http::internal {

class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    server_connection(listener &owner, boost::asio::ip::tcp::socket socket);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    void start();
    void respond(const exchange &answered, response sent);
    // Reads no further request and closes the connection once the open ones are answered. A request
    // that is being read, or the first one of a new connection, is still answered.
    void drain();
    void close();

    std::size_t openRequests() const;

    // The bytes received of requests that are not complete or not parsed yet, and when the first of
    // them began.
    std::uint64_t unfinishedBytes() const;
    std::optional<time_point> unfinishedSince() const;
    // The bytes of responses that the caller has not taken, and since when there are any. A
    // response that waits for the one of an earlier request is included.
    std::uint64_t unreadBytes() const;
    std::optional<time_point> unreadSince() const;
    // Since when the connection waits for its caller to send or to receive; std::nullopt while it
    // waits for an answer of this process.
    std::optional<time_point> waitsForCallerSince() const;

    // Refuses the request that is being received, and gives its memory back.
    void refuseUnfinished();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // A request whose response has not been written yet.
    struct open_request {
        std::shared_ptr<exchange> open;
        bool keepsAlive = true;
        bool isHead = false;
        // The bytes of the request, until it is answered.
        std::uint64_t requestBytes = 0;
        std::optional<response> answer;
    };

    void readMore();
    void handleReadable(const boost::system::error_code &failure);
    void handleRead(const boost::system::error_code &failure, const char *bytes, std::size_t size);
    bool mayParse() const;
    bool awaitsFirstRequest() const;
    void parse();
    void beginRequest();
    void sendContinueIfExpected();
    void finishRequest();
    void refuse(unsigned status);
    bool hasMemoryFor(std::uint64_t bytes);
    void updateClaims();
    void flush();
    void write();
    void handleWritten(const boost::system::error_code &failure);
    void becomeIdle();
    void startLingeringClose();
    void releaseMemory();
    static void reportDisconnect(const boost::asio::any_io_executor &executor,
                                 const std::deque<open_request> &left);
    void startTimer(std::chrono::milliseconds limit);
    void handleTimeout();

    listener *m_owner;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    time_point m_acceptedAt = std::chrono::steady_clock::now();
    boost::beast::flat_buffer m_input;
    std::optional<request_parser> m_parser;
    std::deque<open_request> m_open;
    // Bytes to send after the current write, and the bytes being written.
    std::string m_pending;
    std::string m_output;
    time_point m_requestBegunAt;
    std::optional<time_point> m_unreadSince;
    time_point m_idleSince = m_acceptedAt;
    // The size of the header of the request that is being received, once it is complete.
    std::uint64_t m_headerBytes = 0;
    // The bytes of the open requests, and of the answers that wait for earlier ones.
    std::uint64_t m_openBytes = 0;
    std::uint64_t m_answerBytes = 0;
    core::memory_claim m_requestClaim;
    core::memory_claim m_responseClaim;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_hasSentContinue = false;
    bool m_hasReadRequest = false;
    // The request that is being read, or the next one, is the last.
    bool m_closesAfterNext = false;
    // No further request is read; the connection closes after the last response.
    bool m_isDraining = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace jackdawweir::http::internal
