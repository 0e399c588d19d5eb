#include "jackdawweir/mesh/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::mesh {

using std::chrono::milliseconds;

class mesh_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mesh_settings_test);
    CPPUNIT_TEST(readsANode);
    CPPUNIT_TEST(readsAnAddressToListenOn);
    CPPUNIT_TEST(readsASource);
    CPPUNIT_TEST(derivesTheMemoryForCallersFromTheMemoryOfTheHost);
    CPPUNIT_TEST(readsBoundsOnCallers);
    CPPUNIT_TEST(rejectsInvalidSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string common()
    {
        return "host: \"host-1\"\n"
               "data-centre: \"a\"\n"
               "operators: \"10.0.0.1:8306\"\n"
               "mesh: \"10.0.0.1:7620\"\n"
               "sources: [\"10.0.0.2:8306\", \"10.0.0.3:8306\"]\n"
               "drain-seconds: \"0.25\"\n";
    }

    static std::string node()
    {
        return common()
            + "node: {callers: \"10.0.0.1:8304\", readiness: \"10.0.0.1:8302\", service: s1}\n";
    }

    void readsANode()
    {
        const auto read = parseMeshSettings(node(), "node.yaml");
        CPPUNIT_ASSERT(core::isOk(read));
        const mesh_settings &settings = core::valueIn(read);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), settings.node->service.value);
        CPPUNIT_ASSERT(settings.drainTime == milliseconds(250));
        // The mesh addresses of the sources have the port of the process's own mesh address.
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7620"), settings.sources.at(0).value);
        CPPUNIT_ASSERT(!settings.meshListen);
    }

    // Guards against links that are accepted on the address that only a proxy listens on.
    void readsAnAddressToListenOn()
    {
        const auto read
            = parseMeshSettings(node() + "mesh-listen: \"10.0.0.1:7621\"\n", "node.yaml");
        CPPUNIT_ASSERT(core::isOk(read));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7621"), core::valueIn(read).meshListen->value);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7620"), core::valueIn(read).mesh.value);
    }

    void readsASource()
    {
        const auto read = parseMeshSettings(
            common() + "source: {data-folder: \"/data\", bootstrap: true}\n", "source.yaml");
        CPPUNIT_ASSERT(core::isOk(read));
        CPPUNIT_ASSERT(core::valueIn(read).source->bootstrap);
        CPPUNIT_ASSERT(!core::valueIn(read).node);
    }

    // Guards against a budget that exceeds the memory of a small host.
    void derivesTheMemoryForCallersFromTheMemoryOfTheHost()
    {
        const auto read = parseMeshSettings(node() + "memory-mib: 100\n", "node.yaml");
        CPPUNIT_ASSERT(core::isOk(read));
        const caller_bounds &bounds = core::valueIn(read).callerBounds;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100} << 20U, bounds.memoryBytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40} << 20U, bounds.heldBytes);
    }

    void readsBoundsOnCallers()
    {
        const auto read = parseMeshSettings(node()
                                                + "caller-memory-mib: 36\n"
                                                  "caller-connections: 300\n"
                                                  "control-connections: 40\n",
                                            "node.yaml");
        CPPUNIT_ASSERT(core::isOk(read));
        const caller_bounds &bounds = core::valueIn(read).callerBounds;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{36} << 20U, bounds.heldBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, bounds.callerConnections);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, bounds.controlConnections);
    }

    void rejectsInvalidSettings()
    {
        for (const std::string &broken :
             {common(),
              node() + "source: {data-folder: \"/data\", bootstrap: true}\n",
              node() + "unknown: \"1\"\n",
              node() + "retry-ratio: \"-1\"\n",
              node() + "retry-ratio: \"many\"\n",
              node() + "log-level: loud\n",
              node() + "rollout-exposure-ratio: \"1.5\"\n",
              node() + "quota-margin: \"-1\"\n",
              node() + "memory-mib: 10\n",
              node() + "memory-mib: 100\ncaller-memory-mib: 101\n",
              node() + "caller-memory-mib: 31\n",
              node() + "caller-connections: 0\n",
              node() + "control-connections: many\n",
              std::string("host: \"host-1\"\n")}) {
            const auto read = parseMeshSettings(broken, "broken.yaml");
            CPPUNIT_ASSERT_MESSAGE(broken, !core::isOk(read));
            CPPUNIT_ASSERT(core::errorIn(read)->message.starts_with("broken.yaml:"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mesh_settings_test);

} // namespace jackdawweir::mesh
