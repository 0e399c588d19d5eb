#include "jackdawweir/mesh/caller_credentials.h"

#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::mesh {

class caller_credentials_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_credentials_test);
    CPPUNIT_TEST(readsTheKeyBehindTheScheme);
    CPPUNIT_TEST(readsNoKeyOfAnotherScheme);
    CPPUNIT_TEST(readsNoKeyOfAWorkspaceFromSeveralHeaders);
    CPPUNIT_TEST(removesTheHeadersInEveryForm);
    CPPUNIT_TEST(keepsTheOtherHeaders);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string keyIn(const std::string &value)
    {
        http::header_list headers{{"Authorization", value}};
        return takeCredentials(headers, forwarding::header_names{}).apiKey;
    }

    void readsTheKeyBehindTheScheme()
    {
        for (const char *value : {"Bearer key-1",
                                  "bearer key-1",
                                  "BEARER key-1",
                                  "Bearer   key-1",
                                  "Bearer\tkey-1",
                                  " \tBearer key-1 \t"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::string("key-1"), keyIn(value));
        }
    }

    // Guards against a text of another scheme that is taken for a key.
    void readsNoKeyOfAnotherScheme()
    {
        for (const char *value : {"",
                                  "Bearer",
                                  "Bearer ",
                                  "Bearerkey-1",
                                  "Basic key-1",
                                  "key-1",
                                  "Basic Bearer key-1"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::string(), keyIn(value));
        }
    }

    // Guards against a caller that is served as one workspace by this node and as another one
    // elsewhere.
    void readsNoKeyOfAWorkspaceFromSeveralHeaders()
    {
        http::header_list headers{{"Authorization", "Bearer key-1"},
                                  {"authorization", "Bearer key-2"}};
        const std::string key = takeCredentials(headers, forwarding::header_names{}).apiKey;
        CPPUNIT_ASSERT_EQUAL(std::string("key-1, Bearer key-2"), key);
    }

    // Guards against a key that reaches a server because its header has an unusual form.
    void removesTheHeadersInEveryForm()
    {
        http::header_list headers{{"Authorization", "Basic key-1"},
                                  {"AUTHORIZATION", "key-2"},
                                  {"authorization", "bearer\tkey-3"},
                                  {"Authorization", ""}};
        const caller_credentials taken = takeCredentials(headers, forwarding::header_names{});
        CPPUNIT_ASSERT(headers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, taken.headers.size());
    }

    void keepsTheOtherHeaders()
    {
        const http::header_list others{{"Host", "shop.example"}, {"X-Authorization", "Bearer a"}};
        http::header_list headers = others;
        const caller_credentials taken = takeCredentials(headers, forwarding::header_names{});
        CPPUNIT_ASSERT(headers == others);
        CPPUNIT_ASSERT(taken.headers.empty() && taken.apiKey.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_credentials_test);

} // namespace jackdawweir::mesh
