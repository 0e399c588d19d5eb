#include "jackdawweir/document/configuration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::document {

namespace {

document quotesDocument()
{
    return document_builder()
        .addService("quotes", {{core::version_name{"v1"}, 100}, {core::version_name{"v2"}, 0}})
        .addRoute(route_builder("quote-lookup").pathPrefix("/quotes/").service("quotes").build())
        .build();
}

core::result<configuration> build(const resource_map &resources)
{
    return configurationFrom(core::config_version{1, 1, digestOf(resources)}, resources);
}

} // namespace

class configuration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(encodesAndDecodesWithoutChange);
    CPPUNIT_TEST(refusesRouteToMissingService);
    CPPUNIT_TEST(refusesCorruptedResource);
    CPPUNIT_TEST(refusesUndecodableResource);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against encoding and decoding that alter a configuration.
    void encodesAndDecodesWithoutChange()
    {
        const document accepted = quotesDocument();
        const core::result<configuration> built = build(toResources(accepted, {}));
        CPPUNIT_ASSERT(core::isOk(built));
        CPPUNIT_ASSERT(core::valueIn(built).routes == accepted.routes);
        CPPUNIT_ASSERT(core::valueIn(built).services == accepted.services);
    }

    // Guards against a proxy that applies a route to a service that it does not have (P2).
    void refusesRouteToMissingService()
    {
        resource_map resources = toResources(quotesDocument(), {});
        resources.erase("service/quotes");
        const core::result<configuration> built = build(resources);
        CPPUNIT_ASSERT(core::errorIn(built) != nullptr);
        CPPUNIT_ASSERT(core::errorIn(built)->code == core::error_code::InvalidArgument);
    }

    // Guards against a corrupted configuration that is applied as the version it claims to be (P3).
    void refusesCorruptedResource()
    {
        resource_map resources = toResources(quotesDocument(), {});
        const core::config_version version{1, 1, digestOf(resources)};
        resources["route/quote-lookup"].back() ^= 1;
        const core::result<configuration> built = configurationFrom(version, resources);
        CPPUNIT_ASSERT(core::errorIn(built) != nullptr);
        CPPUNIT_ASSERT(core::errorIn(built)->code == core::error_code::DataLoss);
    }

    // Guards against a configuration that is applied without the resources that cannot be decoded
    // (P3).
    void refusesUndecodableResource()
    {
        resource_map resources = toResources(quotesDocument(), {});
        resources["route/broken"] = "\xc1";
        CPPUNIT_ASSERT(core::errorIn(build(resources)) != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

} // namespace jackdawweir::document
