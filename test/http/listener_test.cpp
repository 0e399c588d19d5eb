#include "jackdawweir/http/listener.h"

#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "support/loopback_http.h"

namespace jackdawweir::http {

namespace {

constexpr std::uint16_t testPort = 17451;

// A listener on loopback whose event loop runs on its own thread. Exchanges are collected until
// `expected` of them have arrived and are then passed to the script.
class running_listener
{
public:
    using script = std::function<void(std::vector<std::shared_ptr<exchange>> &)>;

    running_listener(const listener_settings &settings, std::size_t expected, script answer)
        : m_expected(expected)
        , m_answer(std::move(answer))
        , m_listener(m_context, settings, [this](const std::shared_ptr<exchange> &open) {
            open->onDisconnect([this] { ++m_disconnects; });
            m_open.push_back(open);
            if (m_open.size() == m_expected) {
                m_answer(m_open);
                m_open.clear();
            }
        })
    {
        CPPUNIT_ASSERT(
            core::isOk(m_listener.start(core::endpoint{"127.0.0.1:" + std::to_string(testPort)})));
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~running_listener()
    {
        boost::asio::post(m_context, [this] { m_listener.stop(); });
        boost::asio::post(m_context, [this] { m_context.stop(); });
        m_thread.join();
    }

    running_listener(const running_listener &) = delete;
    running_listener &operator=(const running_listener &) = delete;

    void post(const std::function<void(listener &)> &function)
    {
        boost::asio::post(m_context, [this, function] { function(m_listener); });
    }

    int disconnects() const
    {
        return m_disconnects;
    }

private:
    std::size_t m_expected;
    script m_answer;
    boost::asio::io_context m_context;
    listener m_listener;
    std::vector<std::shared_ptr<exchange>> m_open;
    std::atomic<int> m_disconnects{0};
    std::thread m_thread;
};

void echo(std::vector<std::shared_ptr<exchange>> &open)
{
    for (const auto &each : open) {
        each->respond(response{200, {}, each->received().target + each->received().body, false});
    }
}

std::string get(const std::string &target, bool isLast)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n"
        + (isLast ? "Connection: close\r\n" : std::string()) + "\r\n";
}

} // namespace

class listener_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(listener_test);
    CPPUNIT_TEST(answersPipelinedRequestsInOrder);
    CPPUNIT_TEST(detectsACallerThatDisconnects);
    CPPUNIT_TEST(readsAChunkedBody);
    CPPUNIT_TEST(refusesAMalformedRequest);
    CPPUNIT_TEST(refusesARequestWithTwoLengths);
    CPPUNIT_TEST(refusesRequestsThatExceedTheLimits);
    CPPUNIT_TEST(refusesAContentLengthBeyondTheMemory);
    CPPUNIT_TEST(refusesAnEndlessChunkSize);
    CPPUNIT_TEST(closesAConnectionWithoutACompleteRequest);
    CPPUNIT_TEST(answersOpenRequestsWhileDraining);
    CPPUNIT_TEST(answersTheFirstRequestOfANewConnectionWhileDraining);
    CPPUNIT_TEST(closesAnUnusedConnectionWhileDraining);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against responses in the wrong order when a later request ends first, and against
    // handling pipelined requests one after another.
    void answersPipelinedRequestsInOrder()
    {
        running_listener running({}, 3, [](auto &open) {
            for (auto each = open.rbegin(); each != open.rend(); ++each) {
                (*each)->respond(response{200, {}, (*each)->received().target, false});
            }
        });
        const std::string received = test::exchangeBytes(
            testPort, get("/first", false) + get("/second", false) + get("/third", true));
        const std::size_t first = received.find("/first");
        const std::size_t second = received.find("/second");
        const std::size_t third = received.find("/third");
        CPPUNIT_ASSERT_MESSAGE(received, first < second && second < third);
        CPPUNIT_ASSERT(third != std::string::npos);
    }

    void detectsACallerThatDisconnects()
    {
        running_listener running({}, 2, echo);
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), testPort});
        boost::asio::write(caller, boost::asio::buffer(get("/left", false)));
        caller.close();
        const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (running.disconnects() == 0 && std::chrono::steady_clock::now() < bound) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        CPPUNIT_ASSERT_EQUAL(1, running.disconnects());
    }

    void readsAChunkedBody()
    {
        running_listener running({}, 1, echo);
        const std::string received = test::exchangeBytes(
            testPort,
            "POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("/pabcde"));
    }

    void refusesAMalformedRequest()
    {
        running_listener running({}, 1, echo);
        const std::string received = test::exchangeBytes(testPort, "NONSENSE\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 400"));
    }

    // Guards against request smuggling: a second request hidden in the body of the first.
    void refusesARequestWithTwoLengths()
    {
        running_listener running({}, 1, echo);
        const std::string received = test::exchangeBytes(
            testPort,
            "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
            "chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(received.find("smuggled") == std::string::npos);
    }

    void refusesRequestsThatExceedTheLimits()
    {
        listener_settings settings;
        settings.maxHeaderBytes = 1024;
        settings.maxBodyBytes = 16;
        running_listener running(settings, 1, echo);
        const std::string longHeader = test::exchangeBytes(
            testPort, "GET / HTTP/1.1\r\nHost: " + std::string(2000, 'h') + "\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(longHeader, longHeader.starts_with("HTTP/1.1 431"));
        const std::string longBody = test::exchangeBytes(
            testPort,
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n" + std::string(17, 'b'));
        CPPUNIT_ASSERT_MESSAGE(longBody, longBody.starts_with("HTTP/1.1 413"));
    }

    // Guards against a caller that crashes the process with one header, by making it allocate the
    // stated length.
    void refusesAContentLengthBeyondTheMemory()
    {
        running_listener running({}, 1, echo);
        const std::string received = test::exchangeBytes(
            testPort, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999999999\r\n\r\nb");
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 413"));
    }

    void refusesAnEndlessChunkSize()
    {
        running_listener running({}, 1, echo);
        const std::string received = test::exchangeBytes(
            testPort,
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;extension="
                + std::string(100'000, 'a'));
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 400"));
    }

    void closesAConnectionWithoutACompleteRequest()
    {
        listener_settings settings;
        settings.requestTimeout = std::chrono::milliseconds(50);
        settings.idleTimeout = std::chrono::milliseconds(50);
        running_listener running(settings, 1, echo);
        const std::string part = test::exchangeBytes(testPort, "GET / HTTP/1.1\r\nHos");
        CPPUNIT_ASSERT_MESSAGE(part, part.starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT_EQUAL(std::string(), test::exchangeBytes(testPort, ""));
    }

    void answersOpenRequestsWhileDraining()
    {
        running_listener *self = nullptr;
        running_listener running({}, 2, [&self](auto &open) {
            self->post([open](listener &drained) {
                drained.drain();
                for (const auto &each : open) {
                    each->respond(response{200, {}, each->received().target, false});
                }
            });
        });
        self = &running;
        const std::string received
            = test::exchangeBytes(testPort, get("/first", false) + get("/second", false));
        CPPUNIT_ASSERT_MESSAGE(received, received.find("/first") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("Connection: close\r\n\r\n/second"));
    }

    // Guards against callers that connect and get no answer, since the connection is closed before
    // their request has arrived.
    void answersTheFirstRequestOfANewConnectionWhileDraining()
    {
        running_listener running({}, 1, echo);
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), testPort});
        drainAfter(running, std::chrono::milliseconds(50));
        boost::asio::write(caller, boost::asio::buffer(get("/late", false)));
        const std::string received = readToEnd(caller);
        CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("Connection: close\r\n\r\n/late"));
    }

    void closesAnUnusedConnectionWhileDraining()
    {
        running_listener running({}, 1, echo);
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), testPort});
        drainAfter(running, std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::string(), readToEnd(caller));
    }

private:
    static void drainAfter(running_listener &running, std::chrono::milliseconds delay)
    {
        std::this_thread::sleep_for(delay);
        std::promise<void> isDone;
        running.post([&isDone](listener &drained) {
            drained.drain();
            isDone.set_value();
        });
        isDone.get_future().wait();
    }

    static std::string readToEnd(boost::asio::ip::tcp::socket &caller)
    {
        std::string received;
        boost::system::error_code ended;
        boost::asio::read(caller, boost::asio::dynamic_buffer(received), ended);
        return received;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listener_test);

} // namespace jackdawweir::http
