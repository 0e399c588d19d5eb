#include "jackdawweir/membership/server_directory.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::membership {

namespace {

const core::endpoint relay{"10.0.0.2:7001"};
const core::service_name quotes{"quotes"};
constexpr std::uint64_t incarnation = 7;

backend_server remoteServer()
{
    backend_server server;
    server.address.value = "10.0.0.3:9001";
    server.service = quotes;
    server.version.value = "v1";
    server.dataCentre.value = "north";
    server.host.value = "host-3";
    server.incarnation = 1;
    server.slots = 10;
    server.state = server_state::Ready;
    return server;
}

// A directory that has received one server of another host from its relay.
struct directory_with_remote_server {
    core::manual_clock clock;
    server_directory directory{core::valueIn(settings_builder()
                                                 .ownHost("host-1")
                                                 .dataCentre("north")
                                                 .ownEndpoint("10.0.0.1:7001")
                                                 .incarnation(incarnation)
                                                 .addRelay(relay.value)
                                                 .build())};

    directory_with_remote_server()
    {
        directory.setServices({quotes});
        directory.tick(clock.monotonicNow());
        handle(summary({}));
        view_snapshot snapshot;
        snapshot.session = incarnation;
        snapshot.relayIncarnation = 1;
        snapshot.viewVersion = 1;
        snapshot.dataCentre.value = "north";
        snapshot.servers = {remoteServer()};
        handle(snapshot);
        handle(summary({}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, eligible());
    }

    static view_summary summary(std::map<core::host_name, std::chrono::milliseconds> suspects)
    {
        server_table table;
        table.put(remoteServer());
        view_digest state;
        state.dataCentre.value = "north";
        state.digest = table.digestOf(nullptr);
        state.suspects = std::move(suspects);
        view_summary sent;
        sent.session = incarnation;
        sent.relayIncarnation = 1;
        sent.viewVersion = 1;
        sent.dataCentres = {state};
        return sent;
    }

    bool handle(const message &received)
    {
        return holdsChange(directory.handle(relay, received, clock.monotonicNow()));
    }

    bool tick()
    {
        return holdsChange(directory.tick(clock.monotonicNow()));
    }

    std::size_t eligible() const
    {
        return directory.eligible(quotes, clock.monotonicNow()).size();
    }

    static bool holdsChange(const effects &wanted)
    {
        return std::any_of(wanted.begin(), wanted.end(), [](const effect &each) {
            return std::holds_alternative<directory_changed>(each);
        });
    }
};

} // namespace

class server_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_directory_test);
    CPPUNIT_TEST(reportsChangeWhenHostBecomesUnreachableAndReturns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against routing that keeps using the servers of an unreachable host, or omits those of
    // a host that is reachable again, because directory_changed was not emitted.
    void reportsChangeWhenHostBecomesUnreachableAndReturns()
    {
        directory_with_remote_server tested;
        const core::host_name host{"host-3"};
        const std::chrono::milliseconds nearTimeout
            = dataCentreTimeout - std::chrono::milliseconds(100);
        tested.handle(directory_with_remote_server::summary({{host, nearTimeout}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.eligible());
        tested.clock.advance(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(tested.tick());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tested.eligible());
        CPPUNIT_ASSERT(tested.handle(directory_with_remote_server::summary({})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.eligible());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_directory_test);

} // namespace jackdawweir::membership
