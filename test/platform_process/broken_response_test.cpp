// Tests with real processes that a caller gets no response of a backend server that is broken off
// or malformed.

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class broken_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(broken_response_test);
    CPPUNIT_TEST(failsARequestWhoseResponseIsResetDuringTheUpload);
    CPPUNIT_TEST(failsARequestWhoseResponseHasNoValidStatus);
    CPPUNIT_TEST(failsARequestWhoseResponseHasAMalformedHeaderName);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of a response that is passed on as a whole one.
    void failsARequestWhoseResponseIsResetDuringTheUpload()
    {
        const std::string upload(std::size_t{7} << 20U, 'b');
        assertEachFails(81, {head("200 OK", "") + "half"}, after_reply::Reset, upload);
    }

    void failsARequestWhoseResponseHasNoValidStatus()
    {
        const std::string length = "Content-Length: 2\r\n";
        assertEachFails(82,
                        {head("000 Trouble", length) + "no",
                         head("000 Trouble", "") + "no",
                         head("099 Trouble", length) + "no",
                         head("600 Trouble", length) + "no"},
                        after_reply::Close);
    }

    void failsARequestWhoseResponseHasAMalformedHeaderName()
    {
        assertEachFails(83,
                        {head("200 OK", "Content Length: 2\r\n") + "no",
                         head("200 OK", "Content-Length : 2\r\n") + "no",
                         head("200 OK", " Content-Length: 2\r\n") + "no",
                         head("200 OK", "\tContent-Length: 2\r\n") + "no",
                         head("200 OK", "Content-Length: 2\r\nNo\x01te: 1\r\n") + "no"},
                        after_reply::Close);
    }

private:
    static std::string head(const std::string &status, const std::string &headers)
    {
        return "HTTP/1.1 " + status + "\r\nX-Jackdawweir-Attempt-Id: 77\r\nNote: 1\r\n" + headers
            + "\r\n";
    }

    // Checks that a request which may run only once fails for each of these responses.
    static void assertEachFails(int fleetNumber,
                                const std::vector<std::string> &responses,
                                after_reply then,
                                const std::string &body = "")
    {
        std::vector<test::scripted_reply> replies;
        replies.reserve(responses.size());
        for (const std::string &each : responses) {
            replies.push_back(test::scripted_reply{each, then});
        }
        scripted_server desk({{reply("unused"), after_reply::KeepOpen}});
        scripted_server stock(replies);
        mesh_fleet fleet(fleetNumber);
        serve(fleet, desk, stock);
        for (const std::string &each : responses) {
            call_response response;
            waitUntil(waitTimeout, [&] {
                response = fleet.request(1, "POST", "/order/1", body);
                return response.status != 503;
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each, 502, response.status);
        }
        CPPUNIT_ASSERT_EQUAL(responses.size(), stock.requestsReceived());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_response_test);

} // namespace jackdawweir::platform_process_test
