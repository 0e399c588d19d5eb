#include "jackdawweir/http/message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::http {

class message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_test);
    CPPUNIT_TEST(findsHeadersCaseInsensitively);
    CPPUNIT_TEST(removesHopByHopHeaders);
    CPPUNIT_TEST(writesAContentLengthForEveryBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsHeadersCaseInsensitively()
    {
        const header_list headers{{"Host", "a"}, {"X-Size", "2"}};
        CPPUNIT_ASSERT_EQUAL(std::string("2"), *findHeader(headers, "x-size"));
        CPPUNIT_ASSERT(findHeader(headers, "x-siz") == nullptr);
    }

    void removesHopByHopHeaders()
    {
        header_list headers{{"Connection", "close, X-Hop"},
                            {"x-hop", "1"},
                            {"Keep-Alive", "timeout=5"},
                            {"Transfer-Encoding", "chunked"},
                            {"Content-Length", "3"},
                            {"X-Kept", "1"}};
        removeConnectionHeaders(headers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, headers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("X-Kept"), headers[0].name);
    }

    void writesAContentLengthForEveryBody()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
                             serialize(response{200, {}, "ok", false}, false));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"),
                             serialize(response{200, {}, "ok", false}, true));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"),
                             serialize(response{204, {}, "", true}, false));
        CPPUNIT_ASSERT_EQUAL(std::string("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
                             serialize(request{"POST", "/", {}, ""}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_test);

} // namespace jackdawweir::http
