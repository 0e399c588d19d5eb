#include "jackdawweir/distribution/publisher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fleet.h"
#include "support/property.h"

namespace jackdawweir::distribution {

using namespace std::chrono_literals;

namespace {

const core::endpoint reader{"node-1"};
const core::monotonic_time start{1h};

std::shared_ptr<const document::resource_map> resourcesOf(unsigned services, unsigned revision)
{
    return std::make_shared<const document::resource_map>(
        document::toResources(documentOf(services, revision), {}));
}

core::config_version versionOf(unsigned number, const document::resource_map &resources)
{
    return core::config_version{1, number, document::digestOf(resources)};
}

// Returns the first message of a type among the effects, or nullptr.
template<typename Message>
const Message *findSent(const effects &wanted)
{
    for (const effect &each : wanted) {
        const auto *sent = std::get_if<send_message>(&each);
        if (sent != nullptr && std::holds_alternative<Message>(sent->body)) {
            return &std::get<Message>(sent->body);
        }
    }
    return nullptr;
}

} // namespace

class publisher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publisher_test);
    CPPUNIT_TEST(deltaFromAnyRetainedVersionProducesNewest);
    CPPUNIT_TEST(sendsSnapshotBeyondDeltaHistory);
    CPPUNIT_TEST(refusesMoreSubscribersThanFanOut);
    CPPUNIT_TEST(chargesSnapshotsByTheirSize);
    CPPUNIT_TEST(startsNewReadForRequestDuringRead);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a delta that omits a change between its base and the newest version.
    void deltaFromAnyRetainedVersionProducesNewest()
    {
        test::checkProperty("applying the delta to its base gives the newest version", [] {
            const auto sizes = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(1U, 12U)));
            publisher tested(publisher_role::Source, {});
            std::vector<std::shared_ptr<const document::resource_map>> history;
            for (const unsigned size : sizes) {
                const auto number = static_cast<unsigned>(history.size() + 1);
                history.push_back(resourcesOf(size, number));
                tested.publish(versionOf(number, *history.back()), history.back(), start);
            }
            const auto index = *rc::gen::inRange<std::size_t>(0, history.size());
            const core::config_version base
                = versionOf(static_cast<unsigned>(index + 1), *history[index]);
            const effects wanted = tested.handle(reader, fetch_request{1, base}, start);
            if (const auto *difference = findSent<delta>(wanted)) {
                document::resource_map applied = *history[index];
                for (const std::string &name : difference->removed) {
                    RC_ASSERT(applied.erase(name) == 1U);
                }
                for (const auto &[name, bytes] : difference->changed) {
                    applied[name] = bytes;
                }
                RC_ASSERT(applied == *history.back());
            } else if (const auto *sentSnapshot = findSent<snapshot>(wanted)) {
                RC_ASSERT(sentSnapshot->resources == *history.back());
            } else {
                RC_ASSERT(index + 1 == history.size());
            }
        });
    }

    // Guards against a subscriber that never converges after it missed hundreds of versions.
    void sendsSnapshotBeyondDeltaHistory()
    {
        publisher tested(publisher_role::Source, {});
        // Only one of many services changes, so that a delta is much smaller than a snapshot.
        document::resource_map resources = *resourcesOf(40, 1);
        std::vector<core::config_version> versions;
        for (unsigned number = 1; number <= maxDeltaHistory + 2; ++number) {
            resources["service/service-0"] = (*resourcesOf(1, number)).at("service/service-0");
            versions.push_back(versionOf(number, resources));
            tested.publish(
                versions.back(), std::make_shared<const document::resource_map>(resources), start);
        }
        const effects near = tested.handle(reader, fetch_request{1, versions[1]}, start);
        CPPUNIT_ASSERT(findSent<delta>(near) != nullptr);
        const effects far = tested.handle(reader, fetch_request{1, versions[0]}, start);
        CPPUNIT_ASSERT(findSent<snapshot>(far) != nullptr);
    }

    // Guards against a relay that accepts more subscribers than it can push to in time.
    void refusesMoreSubscribersThanFanOut()
    {
        publisher tested(publisher_role::Relay, {});
        for (std::size_t index = 0; index <= relayFanOut; ++index) {
            const core::endpoint peer{"node-" + std::to_string(index)};
            const effects wanted = tested.handle(peer, heartbeat{7, {}, subscription::Push}, start);
            const auto *refused = findSent<busy_reply>(wanted);
            CPPUNIT_ASSERT_EQUAL(index == relayFanOut, refused != nullptr);
        }
        tested.tick(start + peerTimeout + 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tested.subscriberCount());
    }

    // Guards against a reconnect storm whose snapshots saturate the network because only the number
    // of requests is limited.
    void chargesSnapshotsByTheirSize()
    {
        std::map<admission_policy, unsigned> admitted;
        for (const admission_policy policy :
             {admission_policy::ByCost, admission_policy::ByCount}) {
            publisher tested(publisher_role::Source, {policy, 1000, 200});
            const auto resources = resourcesOf(1000, 1);
            tested.publish(versionOf(1, *resources), resources, start);
            for (unsigned index = 0; index < 400; ++index) {
                const effects wanted = tested.handle(reader, fetch_request{1, {}}, start);
                admitted[policy] += findSent<snapshot>(wanted) != nullptr ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(200U, admitted[admission_policy::ByCount]);
        CPPUNIT_ASSERT(admitted[admission_policy::ByCost] < 60);
    }

    // Guards against a version floor from a read that began before the request and may therefore
    // miss a version that a node activated in between.
    void startsNewReadForRequestDuringRead()
    {
        publisher tested(publisher_role::Source, {});
        const core::endpoint late{"node-2"};
        const effects first = tested.handle(reader, floor_request{1}, start);
        CPPUNIT_ASSERT(std::holds_alternative<confirm_read>(first.at(0)));
        CPPUNIT_ASSERT(tested.handle(late, floor_request{2}, start).empty());
        const effects done = tested.completeRead(1, core::config_version{1, 5, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, done.size());
        CPPUNIT_ASSERT(std::get<send_message>(done[0]).peer == reader);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, std::get<confirm_read>(done[1]).readId);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publisher_test);

} // namespace jackdawweir::distribution
