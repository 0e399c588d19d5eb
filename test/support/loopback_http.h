// Sends one HTTP request over a loopback connection. It uses plain sockets, so that a test controls
// every byte.
//
//     const http_answer answer = sendHttp(port, "GET", "/v1/status", {}, "");

#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace jackdawweir::test {

struct http_answer {
    // 0 if the connection was closed without an answer.
    int status = 0;
    std::string head;
    std::string body;
};

// Sends the bytes and returns everything received until the server closes the connection.
inline std::string exchangeBytes(std::uint16_t port, const std::string &bytes)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Keeps a test from blocking forever if the server never answers.
    const timeval answerTimeout{10, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &answerTimeout, sizeof answerTimeout);
    std::string received;
    if (connect(connection, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size
                = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(size);
        }
        char buffer[4096];
        ssize_t size = 0;
        while ((size = recv(connection, buffer, sizeof buffer, 0)) > 0) {
            received.append(buffer, static_cast<std::size_t>(size));
        }
    }
    close(connection);
    return received;
}

inline http_answer sendHttp(std::uint16_t port,
                            const std::string &method,
                            const std::string &path,
                            const std::vector<std::string> &headers,
                            const std::string &body)
{
    constexpr std::size_t statusOffset = 9;
    std::string request = absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: localhost\r\n");
    for (const std::string &header : headers) {
        absl::StrAppend(&request, header, "\r\n");
    }
    absl::StrAppend(
        &request, "Connection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    const std::string received = exchangeBytes(port, request);
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return {};
    }
    return http_answer{std::atoi(received.substr(statusOffset, 3).c_str()),
                       received.substr(0, end),
                       received.substr(end + 4)};
}

// Percent-encodes a form value.
inline std::string formEncode(const std::string &value)
{
    std::string encoded;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
    }
    return encoded;
}

} // namespace jackdawweir::test
