#include "jackdawweir/http/caller_guard.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/http/listener.h"

namespace jackdawweir::http {

namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t testPort = 17452;
constexpr std::size_t kibibyte = 1024;

// A caller whose socket is read and written only on request.
class test_caller
{
public:
    explicit test_caller(boost::asio::io_context &context)
        : m_socket(context)
    {
        m_socket.open(tcp::v4());
        // With a small window, a response that is not read stays with the listener.
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), testPort});
        m_socket.non_blocking(true);
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    // Reads what has arrived, and returns everything so far.
    const std::string &received()
    {
        std::string part(64 * kibibyte, '\0');
        boost::system::error_code failure;
        while (!failure) {
            const std::size_t size = m_socket.read_some(boost::asio::buffer(part), failure);
            m_received.append(part, 0, size);
        }
        m_isClosed = failure != boost::asio::error::would_block;
        return m_received;
    }

    bool isClosed()
    {
        received();
        return m_isClosed;
    }

private:
    tcp::socket m_socket;
    std::string m_received;
    bool m_isClosed = false;
};

std::string unfinished(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes + 1) + "\r\n\r\n"
        + std::string(bytes, 'x');
}

} // namespace

class caller_guard_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_guard_test);
    CPPUNIT_TEST(refusesTheOldestUnfinishedRequest);
    CPPUNIT_TEST(acceptsSmallRequestsWhileMemoryIsShort);
    CPPUNIT_TEST(closesTheOldestUnreadResponse);
    CPPUNIT_TEST(replacesTheConnectionThatHasWaitedLongest);
    CPPUNIT_TEST_SUITE_END();

public:
    // All fixtures exist until the end of the run, and the next test needs the port.
    void tearDown() override
    {
        m_listener.reset();
        m_guard.reset();
        run();
    }

    // Guards against requests that stop short and are kept until they time out.
    void refusesTheOldestUnfinishedRequest()
    {
        start(200 * kibibyte, 10, "ok");
        test_caller stalled(m_context);
        stalled.send(unfinished(60 * kibibyte));
        run();
        test_caller complete(m_context);
        complete.send(unfinished(60 * kibibyte) + "x");
        run();
        CPPUNIT_ASSERT(stalled.received().starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(stalled.received().find("Retry-After: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(complete.received().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_shed.size());
        CPPUNIT_ASSERT(m_shed.front().reason == shed_reason::UnfinishedRequest);
    }

    // Guards against ordinary callers that are refused because of large requests of others.
    void acceptsSmallRequestsWhileMemoryIsShort()
    {
        start(200 * kibibyte, 10, "ok");
        core::memory_claim others(m_budget, core::memory_use::CallerRequest);
        others.resize(200 * kibibyte);
        test_caller small(m_context);
        small.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        test_caller large(m_context);
        large.send(unfinished(20 * kibibyte) + "x");
        run();
        CPPUNIT_ASSERT(small.received().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(large.received().starts_with("HTTP/1.1 503"));
    }

    // Guards against responses that are kept for callers that do not read them.
    void closesTheOldestUnreadResponse()
    {
        constexpr std::size_t mebibyte = kibibyte * kibibyte;
        start(48 * mebibyte, 10, std::string(32 * mebibyte, 'x'));
        test_caller slow(m_context);
        slow.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run();
        CPPUNIT_ASSERT(m_budget->used() > 0);
        test_caller next(m_context);
        next.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run();
        CPPUNIT_ASSERT(slow.isClosed());
        CPPUNIT_ASSERT(!next.isClosed());
        CPPUNIT_ASSERT(m_shed.front().reason == shed_reason::UnreadResponse);
    }

    // Guards against idle connections that keep further callers out.
    void replacesTheConnectionThatHasWaitedLongest()
    {
        start(200 * kibibyte, 2, "ok");
        test_caller oldest(m_context);
        run();
        test_caller second(m_context);
        run();
        test_caller third(m_context);
        third.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run();
        CPPUNIT_ASSERT(oldest.isClosed());
        CPPUNIT_ASSERT(!second.isClosed());
        CPPUNIT_ASSERT(third.received().starts_with("HTTP/1.1 200"));
    }

private:
    void start(std::uint64_t limit, std::size_t connections, const std::string &body)
    {
        m_budget = std::make_shared<core::memory_budget>(limit);
        m_guard.emplace(
            m_context, m_budget, [this](const shed_caller &shed) { m_shed.push_back(shed); });
        listener_settings settings;
        settings.maxConnections = connections;
        settings.guard = &*m_guard;
        m_listener.emplace(m_context, settings, [body](const std::shared_ptr<exchange> &open) {
            open->respond(response{200, {}, body, false});
        });
        CPPUNIT_ASSERT(
            core::isOk(m_listener->start(core::endpoint{"127.0.0.1:" + std::to_string(testPort)})));
    }

    void run()
    {
        m_context.restart();
        m_context.run_for(std::chrono::milliseconds(100));
    }

    boost::asio::io_context m_context;
    std::shared_ptr<core::memory_budget> m_budget;
    std::vector<shed_caller> m_shed;
    std::optional<caller_guard> m_guard;
    std::optional<listener> m_listener;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_guard_test);

} // namespace jackdawweir::http
