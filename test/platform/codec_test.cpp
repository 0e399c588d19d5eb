#include "platform/codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::platform {

using std::chrono::milliseconds;

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(decodesAConfiguration);
    CPPUNIT_TEST(rejectsAMalformedConfiguration);
    CPPUNIT_TEST(decodesWorkspacesAndPublicRoutes);
    CPPUNIT_TEST(rejectsAMalformedWorkspace);
    CPPUNIT_TEST(decodesTheRateOfColdServers);
    CPPUNIT_TEST(takesDownloadsForIdempotent);
    CPPUNIT_TEST(keepsAServiceThatIsNamedBesideASplit);
    CPPUNIT_TEST(decodesAnAnnouncement);
    CPPUNIT_TEST(rejectsAnnouncementsWithoutAUsableServer);
    CPPUNIT_TEST(decodesTheStartTimeOfALeavingServer);
    CPPUNIT_TEST(decodesARollout);
    CPPUNIT_TEST(encodesARollout);
    CPPUNIT_TEST(encodesTheAddressForTheNextAnnouncements);
    CPPUNIT_TEST(readsVersions);
    CPPUNIT_TEST(rejectsVersionsThatAreMoreThanDigits);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string configuration()
    {
        return R"({"version":"r7","resources":[
            {"resourceKind":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example",
             "pathPrefix":"/x/","type":"safe","timeoutS":1.2,"targetLatencyS":0.3,"priority":2,
             "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
             "maxAttempts":2}},
            {"resourceKind":"routes","metadata":{"name":"r-2"},"spec":{"host":"b.example",
             "pathPrefix":"/y/","type":"unsafe","timeoutS":0.8,"targetLatencyS":0.4,"priority":1,
             "service":"s2","maxAttempts":1}},
            {"resourceKind":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/healthz",
             "maxConnections":130,"protocol":"h1","tls":false}},
            {"resourceKind":"services","metadata":{"name":"s2"},"spec":{"healthPath":"/healthz",
             "maxConnections":130,"protocol":"h1","tls":false}},
            {"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
             "maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
    }

    static std::string announcement()
    {
        return R"({"address":"10.0.0.9:8080","born":1700000000123,
            "info":{"service":"s1","version":"v1","zone":"z","capacity":12},
            "status":{"phase":"ready","sequence":4,"coldRemainingS":1.5}})";
    }

    // Returns `text` with the first `from` replaced.
    static std::string with(std::string text, const std::string &from, const std::string &to)
    {
        const std::size_t at = text.find(from);
        CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
        return text.replace(at, from.size(), to);
    }

    void decodesAConfiguration()
    {
        const auto decoded = decodePolicy(configuration());
        CPPUNIT_ASSERT(core::isOk(decoded));
        const policy::traffic_policy &read = core::valueIn(decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.routes[0].parts.size());
        CPPUNIT_ASSERT(read.routes[0].kind == document::request_kind::Idempotent);
        CPPUNIT_ASSERT(read.routes[1].kind == document::request_kind::NonIdempotent);
        CPPUNIT_ASSERT(read.routes[0].timeout == milliseconds(1200));
        CPPUNIT_ASSERT(read.routes[1].targetLatency == milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(1U, read.routes[1].rank);
        CPPUNIT_ASSERT_EQUAL(130U, read.services[0].maxConnections);
        CPPUNIT_ASSERT(read.limits.idleTimeout == milliseconds(15'000));
        CPPUNIT_ASSERT_EQUAL(configuration(), read.original);
        CPPUNIT_ASSERT(policy::findViolations(read).empty());
    }

    void rejectsAMalformedConfiguration()
    {
        const std::string whole = configuration();
        for (const std::string &broken :
             {whole.substr(0, whole.size() / 2),
              std::string("[]"),
              std::string(),
              with(whole, "\"r7\"", "7"),
              with(whole, "\"safe\"", "\"perhaps\""),
              with(whole, "1.2", "\"1.2\""),
              with(whole, "\"timeoutS\":0.8,", ""),
              with(whole, "\"weight\":90", "\"weight\":null"),
              with(whole, "\"resourceKind\":\"limits\"", "\"resourceKind\":\"other\""),
              with(whole, "\"metadata\":{\"name\":\"r-1\"},", "")}) {
            CPPUNIT_ASSERT_MESSAGE(broken, !core::isOk(decodePolicy(broken)));
        }
    }

    static std::string configurationWithWorkspaces()
    {
        return with(with(configuration(), "\"priority\":2,", "\"priority\":2,\"public\":true,"),
                    "{\"resourceKind\":\"limits\"",
                    R"({"resourceKind":"tenants","metadata":{"name":"north"},"spec":{"apiKeys":
                        ["key-1","key-2"],"priority":1,"ratePerS":64.5,"burst":32}},
                       {"resourceKind":"tenants","metadata":{"name":"south"},"spec":{"apiKeys":[]}},
                       {"resourceKind":"limits")");
    }

    void decodesWorkspacesAndPublicRoutes()
    {
        const auto decoded = decodePolicy(configurationWithWorkspaces());
        CPPUNIT_ASSERT(core::isOk(decoded));
        const policy::traffic_policy &read = core::valueIn(decoded);
        CPPUNIT_ASSERT(read.routes[0].isPublic);
        CPPUNIT_ASSERT(!read.routes[1].isPublic);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.workspaces.size());
        const policy::workspace expected{
            policy::workspace_name{"north"}, {"key-1", "key-2"}, 1, 64.5, 32};
        CPPUNIT_ASSERT(read.workspaces[0] == expected);
        policy::workspace withoutKeys;
        withoutKeys.name.value = "south";
        CPPUNIT_ASSERT(read.workspaces[1] == withoutKeys);
        CPPUNIT_ASSERT(policy::findViolations(read).empty());
    }

    void rejectsAMalformedWorkspace()
    {
        const std::string whole = configurationWithWorkspaces();
        for (const std::string &broken : {with(whole, "\"public\":true", "\"public\":1"),
                                          with(whole, "\"key-1\"", "1"),
                                          with(whole, "\"ratePerS\":64.5", "\"ratePerS\":-1"),
                                          with(whole, "\"burst\":32", "\"burst\":\"32\""),
                                          with(whole, "\"apiKeys\":[]", "\"apiKeys\":\"key-3\"")}) {
            CPPUNIT_ASSERT_MESSAGE(broken, !core::isOk(decodePolicy(broken)));
        }
    }

    void decodesTheRateOfColdServers()
    {
        const auto decoded = decodePolicy(with(
            configuration(), "\"tls\":false", "\"tls\":false,\"coldStartS\":3,\"coldPerS\":12"));
        const policy::traffic_policy &read = core::valueIn(decoded);
        CPPUNIT_ASSERT(read.services[0].coldTime == milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(12.0, read.services[0].coldRequestsPerSecond);
        CPPUNIT_ASSERT_EQUAL(0.0, read.services[1].coldRequestsPerSecond);
    }

    void takesDownloadsForIdempotent()
    {
        const auto decoded = decodePolicy(with(configuration(), "\"safe\"", "\"download\""));
        CPPUNIT_ASSERT(core::valueIn(decoded).routes[0].kind == document::request_kind::Idempotent);
    }

    // Guards against accepting a configuration in which a route names an unknown service.
    void keepsAServiceThatIsNamedBesideASplit()
    {
        const std::string split = "\"trafficSplit\"";
        const auto unknown
            = decodePolicy(with(configuration(), split, "\"service\":\"missing\"," + split));
        CPPUNIT_ASSERT(!core::isOk(unknown)
                       || !policy::findViolations(core::valueIn(unknown)).empty());
        const auto known
            = decodePolicy(with(configuration(), split, "\"service\":\"s2\"," + split));
        CPPUNIT_ASSERT(core::isOk(known));
        CPPUNIT_ASSERT(policy::findViolations(core::valueIn(known)).empty());
        const auto unreadable
            = decodePolicy(with(configuration(), split, "\"service\":7," + split));
        CPPUNIT_ASSERT(!core::isOk(unreadable));
    }

    void decodesAnAnnouncement()
    {
        const auto decoded = decodeAnnouncement("i-1", announcement());
        CPPUNIT_ASSERT(core::isOk(decoded));
        const fleet::server_announcement &read = core::valueIn(decoded);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), read.server.instance.value);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:8080"), read.server.address.value);
        CPPUNIT_ASSERT_EQUAL(12U, read.server.slots);
        CPPUNIT_ASSERT(read.server.coldFor == milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, read.sequence);
        CPPUNIT_ASSERT(read.server.startedAt == milliseconds(1'700'000'000'123));
        CPPUNIT_ASSERT(!read.server.isDraining);
        const auto draining
            = decodeAnnouncement("i-1", with(announcement(), "\"ready\"", "\"draining\""));
        CPPUNIT_ASSERT(core::valueIn(draining).server.isDraining);
    }

    // Guards against server records that are built from an announcement of an unexpected form.
    void rejectsAnnouncementsWithoutAUsableServer()
    {
        const std::string whole = announcement();
        const std::string longName(1000, 'x');
        for (const std::string &broken : {std::string("\xff\xfe"),
                                          whole.substr(0, 60),
                                          with(whole, "\"ready\"", "\"resting\""),
                                          with(whole, "\"capacity\":12", "\"capacity\":\"12\""),
                                          with(whole, "\"capacity\":12", "\"capacity\":0"),
                                          with(whole, "\"service\":\"s1\"", "\"service\":\"\""),
                                          with(whole, "10.0.0.9:8080", "nowhere"),
                                          with(whole, "10.0.0.9:8080", "10.0.0.9:65536"),
                                          with(whole, "10.0.0.9:8080", "10.0.0.9:0"),
                                          with(whole, "1700000000123", "1.5"),
                                          with(whole, "1700000000123", "9000000000000000"),
                                          with(whole, "1700000000123", "1e999"),
                                          with(whole, "\"capacity\":12", "\"capacity\":4294967295"),
                                          with(whole, "\"v1\"", "\"" + longName + "\""),
                                          with(whole, "\"s1\"", "\"" + longName + "\""),
                                          std::string(100'000, '['),
                                          with(whole, "\"sequence\":4", "\"sequence\":-4")}) {
            CPPUNIT_ASSERT_MESSAGE(broken, !core::isOk(decodeAnnouncement("i-1", broken)));
        }
        CPPUNIT_ASSERT(!core::isOk(decodeAnnouncement("", whole)));
        CPPUNIT_ASSERT(!core::isOk(decodeAnnouncement(longName, whole)));
    }

    void decodesTheStartTimeOfALeavingServer()
    {
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(!core::valueIn(decodeDeregistration("i-1", "")));
        CPPUNIT_ASSERT(!core::valueIn(decodeDeregistration("i-1", "{}")));
        CPPUNIT_ASSERT(core::valueIn(decodeDeregistration("i-1", R"({"born":1700000000000})"))
                       == milliseconds(1'700'000'000'000));
        CPPUNIT_ASSERT(!core::isOk(decodeDeregistration("i-1", R"({"born":"soon"})")));
        CPPUNIT_ASSERT(!core::isOk(decodeDeregistration("i-1", "no JSON")));
        CPPUNIT_ASSERT(!core::isOk(decodeDeregistration("", "")));
        CPPUNIT_ASSERT(!core::isOk(decodeDeregistration(std::string(1000, 'x'), "")));
        // A start in the far future would cover every later start of the server.
        CPPUNIT_ASSERT(!core::isOk(decodeDeregistration("i-1", R"({"born":9000000000000000})")));
    }

    void decodesARollout()
    {
        const auto decoded
            = decodeRollout(R"({"service":"s1","targetVersion":"v2","durationS":12.5})");
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), core::valueIn(decoded).target.value);
        CPPUNIT_ASSERT(core::valueIn(decoded).duration == milliseconds(12'500));
        CPPUNIT_ASSERT(!core::isOk(decodeRollout(R"({"service":"s1"})")));
    }

    void encodesARollout()
    {
        policy::rollout shown;
        shown.target.value = "v2";
        shown.phase = policy::rollout_phase::RolledBack;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"phase":"rolled_back","targetVersion":"v2"})"),
                             encodeRollout(shown));
    }

    void encodesTheAddressForTheNextAnnouncements()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"heartbeatUrl":"127.4.5.6:80"})"),
                             encodeHeartbeatReply(core::endpoint{"127.4.5.6:80"}));
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), encodeHeartbeatReply(core::endpoint{}));
    }

    void readsVersions()
    {
        CPPUNIT_ASSERT(parseVersion("r12") == 12U);
        CPPUNIT_ASSERT(parseVersion("0") == 0U);
        CPPUNIT_ASSERT(!parseVersion("r"));
        CPPUNIT_ASSERT(!parseVersion("x12"));
        CPPUNIT_ASSERT(!parseVersion("r-1"));
    }

    // Guards against a configuration that is accepted under a number that it does not state.
    void rejectsVersionsThatAreMoreThanDigits()
    {
        for (const char *text : {"r 7", "r7 ", "r+7", " 7", "7\n", "rr7", "r7.0", "r1e3", ""}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseVersion(text));
        }
        CPPUNIT_ASSERT(parseVersion("r18446744073709551615").has_value());
        CPPUNIT_ASSERT(!parseVersion("r18446744073709551616"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace jackdawweir::platform
