// Tests API keys with real processes: who is served, what the server sees, and where a key must not
// appear.

#include <filesystem>
#include <fstream>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class workspace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workspace_test);
    CPPUNIT_TEST(servesOnlyCallersWithAKeyInForce);
    CPPUNIT_TEST(refusesSharedKeysWithoutNamingThem);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr const char *northKey = "secret-of-north-1";
    static constexpr const char *southKey = "secret-of-south-1";

    static std::string workspace(const std::string &name, const std::string &keys)
    {
        return R"(,{"resourceKind":"tenants","metadata":{"name":")" + name
            + R"("},"spec":{"apiKeys":[)" + keys + "]}}";
    }

    static std::string quoted(const std::string &key)
    {
        return "\"" + key + "\"";
    }

    // Replaces the configuration with one whose "/order/" is public.
    static call_response
    replaceWorkspaces(const mesh_fleet &fleet, int base, int version, const std::string &workspaces)
    {
        std::string changed = configuration(static_cast<std::uint64_t>(version), "stock");
        const std::string rank = "\"priority\":0,";
        changed.replace(changed.find(rank), rank.size(), rank + "\"public\":true,");
        changed.replace(changed.rfind("]}"), 2, workspaces + "]}");
        return fleet.callSource(1,
                                "POST",
                                "/Config.Replace",
                                changed,
                                "X-Jackdawweir-Base-Version: r" + std::to_string(base) + "\r\n");
    }

    static int
    statusWith(const mesh_fleet &fleet, const std::string &target, const std::string &headers)
    {
        return fleet.requestWith(1, "GET", target, headers).status;
    }

    static std::string authorization(const std::string &key)
    {
        return "Authorization: Token " + key + "\r\n";
    }

    static std::string logsIn(const std::filesystem::path &folder)
    {
        std::stringstream text;
        for (const auto &each : std::filesystem::directory_iterator(folder)) {
            if (each.path().extension() == ".log") {
                text << std::ifstream(each.path()).rdbuf();
            }
        }
        return text.str();
    }

    // Guards against a withdrawn key that is still served, a key that a server, a log or a metric
    // shows, and a workspace that a caller chooses itself.
    void servesOnlyCallersWithAKeyInForce()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(71);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        const std::string both
            = workspace("north", quoted(northKey)) + workspace("south", quoted(southKey));
        CPPUNIT_ASSERT_EQUAL(200, replaceWorkspaces(fleet, 3, 4, both).status);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return statusWith(fleet, "/stock/1", "") == 401; }));

        const std::string forged = "X-Jackdawweir-Tenant: south\r\n";
        CPPUNIT_ASSERT_EQUAL(200, statusWith(fleet, "/stock/1", forged + authorization(northKey)));
        const std::string seen = stock.lastRequest();
        CPPUNIT_ASSERT(seen.find("X-Jackdawweir-Tenant: north\r\n") != std::string::npos);
        CPPUNIT_ASSERT(seen.find("south") == std::string::npos);
        CPPUNIT_ASSERT(seen.find(northKey) == std::string::npos);

        // A public route needs no key, and its server gets neither a workspace nor other
        // credentials.
        const std::string basic = "Authorization: Basic " + std::string(northKey) + "\r\n";
        CPPUNIT_ASSERT_EQUAL(200, statusWith(fleet, "/order/1", forged + basic));
        CPPUNIT_ASSERT(stock.lastRequest().find("south") == std::string::npos);
        CPPUNIT_ASSERT(stock.lastRequest().find(northKey) == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(401, statusWith(fleet, "/order/1", authorization("secret-guessed")));

        const std::string southOnly = workspace("north", "") + workspace("south", quoted(southKey));
        CPPUNIT_ASSERT_EQUAL(200, replaceWorkspaces(fleet, 4, 5, southOnly).status);
        CPPUNIT_ASSERT(waitUntil(std::chrono::seconds(2), [&] {
            return statusWith(fleet, "/stock/1", authorization(northKey)) == 401;
        }));
        CPPUNIT_ASSERT_EQUAL(200, statusWith(fleet, "/stock/1", authorization(southKey)));

        const std::string shown = logsIn(fleet.folder()) + fleet.metricsOf(1) + fleet.metricsOf(2);
        CPPUNIT_ASSERT(shown.find("workspace=north") != std::string::npos);
        CPPUNIT_ASSERT(shown.find("outcome=unauthorized") != std::string::npos);
        CPPUNIT_ASSERT(shown.find("jackdawweir_mesh_answers_total") != std::string::npos);
        CPPUNIT_ASSERT(shown.find("secret") == std::string::npos);
    }

    // Guards against an invalid configuration that is taken, and against a key in its refusal.
    void refusesSharedKeysWithoutNamingThem()
    {
        mesh_fleet fleet(72);
        startNodes(fleet);
        const std::string shared
            = workspace("north", quoted(northKey)) + workspace("south", quoted(northKey));
        const call_response refused = replaceWorkspaces(fleet, 3, 4, shared);
        CPPUNIT_ASSERT_EQUAL(400, refused.status);
        CPPUNIT_ASSERT(refused.body.find("an API key is empty or used twice") != std::string::npos);
        // A body that ends within a key.
        const call_response broken = fleet.callSource(1,
                                                      "POST",
                                                      "/Config.Replace",
                                                      R"({"version":"r4","resources":[)"
                                                          + workspace("north", "\"secret-cut"),
                                                      "X-Jackdawweir-Base-Version: r3\r\n");
        CPPUNIT_ASSERT_EQUAL(400, broken.status);
        const std::string shown = refused.body + broken.body + logsIn(fleet.folder());
        CPPUNIT_ASSERT(shown.find("secret") == std::string::npos);
        awaitRead(fleet, 2, 3, "stock");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_test);

} // namespace jackdawweir::platform_process_test
