// Tests with real processes that a malformed announcement, written by some other program, affects
// no process and no other backend server.

#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class malformed_announcement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(malformed_announcement_test);
    CPPUNIT_TEST(refusesAnnouncementsThatNameNoUsableServer);
    CPPUNIT_TEST(servesAfterAnnouncementsWithVeryLongNames);
    CPPUNIT_TEST(keepsAServerThatAnotherAnnouncementContradicts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that ends, or that lists a server it cannot reach.
    void refusesAnnouncementsThatNameNoUsableServer()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(21);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        const std::string valid = announcement("127.0.0.1:1", "stock", "v1", "1700000000000", "1");
        const std::string tooLarge = "1" + std::string(400, '0');
        for (const std::string &malformed :
             {std::string(1U << 20U, '['),
              R"({"info":)" + repeated(R"({"a":)", 200'000) + "1" + std::string(200'001, '}'),
              announcement("127.0.0.1:65536", "stock", "v1", "1700000000000", "1"),
              announcement("127.0.0.1:99999999999999999999", "stock", "v1", "1700000000000", "1"),
              announcement("127.0.0.1:-1", "stock", "v1", "1700000000000", "1"),
              announcement("127.0.0.1:1", "stock", "v1", tooLarge, "1"),
              announcement("127.0.0.1:1", "stock", "v1", "9000000000000000", "1"),
              announcement("127.0.0.1:1", "stock", "v1", "1700000000000", tooLarge),
              announcement("127.0.0.1:1", "stock", "v1", "1700000000000", "1e999"),
              with(valid, "\"capacity\":4", "\"capacity\":4294967295"),
              with(valid, "\"capacity\":4", "\"capacity\":" + tooLarge),
              with(valid, "\"coldRemainingS\":0", "\"coldRemainingS\":1e300")}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                malformed.substr(0, 200), 400, send(fleet, "i-odd", malformed).status);
        }
        CPPUNIT_ASSERT_EQUAL(400, send(fleet, "i-" + std::string(10'000, 'x'), valid).status);
        assertServed(fleet);
    }

    // Guards against a host whose report to the sources is too large to be sent.
    void servesAfterAnnouncementsWithVeryLongNames()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(22);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        const std::string longName(7U << 20U, 'v');
        for (int number = 1; number <= 4; ++number) {
            const std::string address = "127.0.0.1:" + std::to_string(number);
            send(fleet,
                 "i-odd-" + std::to_string(number),
                 announcement(address, "stock", longName, "1700000000000", "1"));
        }
        assertServed(fleet);
    }

    // Guards against a server that gets no more requests because an announcement under its name or
    // address, which it did not send, was taken for its own.
    void keepsAServerThatAnotherAnnouncementContradicts()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(23);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        const std::string address = stock.address().value;
        const std::string start = "1700000000000";
        send(fleet, "i-stock", announcement("127.0.0.1:1", "stock", "v1", start, "50"));
        assertServed(fleet);
        send(fleet, "i-stock", announcement(address, "nowhere", "v1", start, "51"));
        assertServed(fleet);
        send(fleet, "i-stock", announcement(address, "stock", "v9", start, "52"));
        assertServed(fleet);
        send(fleet, "i-odd", announcement(address, "nowhere", "v1", "1700000000001", "1"));
        assertServed(fleet);
    }

private:
    static std::string announcement(const std::string &address,
                                    const std::string &service,
                                    const std::string &version,
                                    const std::string &startedAt,
                                    const std::string &sequence)
    {
        return R"({"address":")" + address + R"(","born":)" + startedAt + R"(,"info":{"service":")"
            + service + R"(","version":")" + version
            + R"(","zone":"a","capacity":4},"status":{"phase":"ready","sequence":)" + sequence
            + R"(,"coldRemainingS":0}})";
    }

    // Returns `text` with `from` replaced.
    static std::string with(std::string text, const std::string &from, const std::string &to)
    {
        return text.replace(text.find(from), from.size(), to);
    }

    static std::string repeated(const std::string &part, std::size_t count)
    {
        std::string text;
        for (std::size_t index = 0; index < count; ++index) {
            text += part;
        }
        return text;
    }

    static call_response
    send(const mesh_fleet &fleet, const std::string &instance, const std::string &body)
    {
        return sendRequest(fleet.nodeIp(2),
                           mesh_fleet::operatorsPort,
                           "POST",
                           "/Instances.Heartbeat/" + instance,
                           "Host: node\r\n",
                           body);
    }

    // Sends requests for longer than a host that no longer reports stays in the directory.
    static void assertServed(const mesh_fleet &fleet)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(3'500);
        while (std::chrono::steady_clock::now() < end) {
            CPPUNIT_ASSERT_EQUAL(std::string("from the stock"),
                                 fleet.request(1, "GET", "/stock/1").body);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_announcement_test);

} // namespace jackdawweir::platform_process_test
