// Demonstrates why the mesh processes requests with neither libmicrohttpd nor libcurl
// (docs/platform.md). A failure means that a library has changed and that the choice can be
// reconsidered.

#include <atomic>
#include <chrono>
#include <thread>

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/scripted_server.h"

namespace jackdawweir::proxy {

namespace {

using test::after_reply;
using test::scripted_server;

constexpr std::uint16_t testPort = 17455;

// Suspends the first request, and counts suspended requests and completed requests.
struct suspending_server {
    std::atomic<int> begun{0};
    std::atomic<int> ended{0};
    std::atomic<MHD_Connection *> suspended{nullptr};
    MHD_Daemon *daemon = nullptr;

    suspending_server()
    {
        daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                                  testPort,
                                  nullptr,
                                  nullptr,
                                  &suspending_server::handle,
                                  this,
                                  MHD_OPTION_NOTIFY_COMPLETED,
                                  &suspending_server::complete,
                                  this,
                                  MHD_OPTION_END);
        CPPUNIT_ASSERT(daemon != nullptr);
    }

    ~suspending_server()
    {
        if (MHD_Connection *held = suspended) {
            MHD_resume_connection(held);
        }
        MHD_stop_daemon(daemon);
    }

    suspending_server(const suspending_server &) = delete;
    suspending_server &operator=(const suspending_server &) = delete;

    static MHD_Result handle(void *self,
                             MHD_Connection *connection,
                             const char * /*url*/,
                             const char * /*method*/,
                             const char * /*version*/,
                             const char * /*data*/,
                             std::size_t * /*size*/,
                             void **state)
    {
        auto &own = *static_cast<suspending_server *>(self);
        if (*state == nullptr) {
            *state = &own;
            return MHD_YES;
        }
        if (own.suspended == nullptr) {
            own.suspended = connection;
            MHD_suspend_connection(connection);
            ++own.begun;
        }
        return MHD_YES;
    }

    static void complete(void *self,
                         MHD_Connection * /*connection*/,
                         void ** /*state*/,
                         MHD_RequestTerminationCode /*code*/)
    {
        ++static_cast<suspending_server *>(self)->ended;
    }
};

std::size_t discard(char * /*data*/, std::size_t size, std::size_t count, void * /*unused*/)
{
    return size * count;
}

} // namespace

class library_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(library_limits_test);
    CPPUNIT_TEST(suspendedConnectionDoesNotReportCallerDisconnect);
    CPPUNIT_TEST(curlResendsPostAfterKeptConnectionCloses);
    CPPUNIT_TEST_SUITE_END();

public:
    void suspendedConnectionDoesNotReportCallerDisconnect()
    {
        suspending_server server;
        const int caller = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(testPort);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT(connect(caller, reinterpret_cast<sockaddr *>(&address), sizeof address)
                       == 0);
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        CPPUNIT_ASSERT(send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
        const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (server.begun == 0 && std::chrono::steady_clock::now() < bound) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(1, server.begun.load());
        close(caller);
        // The mesh must propagate a caller's disconnect within half a second.
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0, server.ended.load());
    }

    void curlResendsPostAfterKeptConnectionCloses()
    {
        scripted_server server(
            {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", after_reply::KeepOpen},
             {"", after_reply::Close},
             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", after_reply::KeepOpen}});
        CURL *handle = curl_easy_init();
        const std::string url = "http://" + server.address().value + "/order";
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &discard);
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, 0L);
        CPPUNIT_ASSERT(curl_easy_perform(handle) == CURLE_OK);
        CPPUNIT_ASSERT(curl_easy_perform(handle) == CURLE_OK);
        curl_easy_cleanup(handle);
        // The caller sent two requests, but the server received three.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.requestsReceived());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(library_limits_test);

} // namespace jackdawweir::proxy
