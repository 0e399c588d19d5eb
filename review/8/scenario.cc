// A server leaves while its zone is cut off, and the zone's core machine loses its disk before the
// cut ends. See claim.txt.

#include "../common-2/stage.hh"

namespace {

using namespace stage;

std::string route(const std::string &name, const std::string &prefix, const std::string &service)
{
    return R"({"resourceKind":"routes","metadata":{"name":")" + name
        + R"("},"spec":{"host":"lane.example","pathPrefix":")" + prefix
        + R"(","type":"safe","timeoutS":2,"targetLatencyS":0.3,"priority":2,"service":")" + service
        + R"(","maxAttempts":2}},)";
}

std::string service(const std::string &name)
{
    return R"({"resourceKind":"services","metadata":{"name":")" + name
        + R"("},"spec":{"healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false}},)";
}

std::string configuration(int version)
{
    return R"({"version":"r)" + std::to_string(version) + R"(","resources":[)"
        + route("r-lookup", "/lookup/", "timetable") + service("timetable")
        + R"({"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
}

class scenario
{
public:
    explicit scenario(const std::string &recordPath)
        : m_record(recordPath)
    {
    }

    int run(bool hasTrouble, bool hasWipe)
    {
        const std::string block = freeBlock(m_site.used.mesh);
        m_site.folder = makeFolder();
        if (block.empty() || m_site.folder.empty()) {
            return notRun;
        }
        m_site.hasProxies = true;
        for (const char *each : {"1", "2", "3"}) {
            m_site.seeds.push_back(block + each);
        }
        for (const char *each : {"11", "12", "13"}) {
            m_nodes.push_back(block + each);
        }
        for (const std::vector<std::string> &each : {m_site.seeds, m_nodes}) {
            for (const std::string &ip : each) {
                if (!m_links.add(ip, m_site.used.mesh, m_site.used.meshBehindProxy)) {
                    return notRun;
                }
            }
        }
        const int code = play(hasTrouble, hasWipe);
        m_stops = true;
        for (std::thread &each : m_threads) {
            each.join();
        }
        m_sources.clear();
        m_sidecars.clear();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_site.folder, ignored);
        }
        return code;
    }

private:
    int play(bool hasTrouble, bool hasWipe)
    {
        for (int zone = 0; zone < 3; ++zone) {
            m_sources.push_back(startSource(zone, true));
        }
        for (int zone = 0; zone < 3; ++zone) {
            m_sidecars.push_back(startNode(zone));
        }
        backend_server leaving(m_nodes[0], 18301, "i-leaving", milliseconds(60));
        backend_server staying(m_nodes[1], 18301, "i-staying", milliseconds(60));
        if (!leaving.isListening() || !staying.isListening() || !replace(0, 3, seconds(20))) {
            return notRun;
        }
        m_threads.emplace_back([&] {
            for (int sequence = 1; !m_stops; ++sequence) {
                announce(staying, m_nodes[1], "zone-b", sequence);
                pause(milliseconds(870));
            }
        });
        int sequence = 0;
        for (int beat = 0; beat < 6; ++beat) {
            announce(leaving, m_nodes[0], "zone-a", ++sequence);
            pause(milliseconds(870));
        }
        constexpr int clients = 8;
        for (int client = 0; client < clients; ++client) {
            m_threads.emplace_back([this] { sendRequests(); });
        }
        pause(seconds(2));
        announce(leaving, m_nodes[0], "zone-a", ++sequence);
        m_record.line("before the leave: " + std::to_string(leaving.runs().size())
                      + " requests have run at the server that will leave, "
                      + std::to_string(staying.runs().size()) + " at the other one");
        if (leaving.runs().empty()) {
            return notRun;
        }
        const auto begin = steady::now();
        if (hasTrouble) {
            m_links.cut({m_site.seeds[0], m_nodes[0]});
            m_record.line("DISRUPTION: zone-a is cut off from the others");
        }
        // This heartbeat is sent now and arrives 3 s late.
        const int heldBack = ++sequence;
        pause(milliseconds(300));
        if (!withdraw(leaving)) {
            m_record.line("the leave was not acknowledged");
            return notRun;
        }
        const double acknowledgedAt = elapsed();
        pause(milliseconds(100));
        if (hasTrouble) {
            m_sources[0]->kill();
            m_sidecars[0]->kill();
            if (hasWipe) {
                std::filesystem::remove_all(m_site.dataOf("core-a"));
            }
            m_record.line(std::string("DISRUPTION: the machines of zone-a lose power")
                          + (hasWipe ? ", and its core machine its disk" : ""));
            pause(milliseconds(900));
            m_sources[0] = startSource(0, false);
            m_sidecars[0] = startNode(0);
            m_record.line("they have started again");
        }
        std::this_thread::sleep_until(begin + milliseconds(3000));
        if (hasTrouble) {
            m_links.cut({});
            m_record.line("the cut has ended after 3 s");
        }
        std::this_thread::sleep_until(begin + milliseconds(3200));
        const http_answer late = announce(leaving, m_nodes[0], "zone-a", heldBack);
        m_record.line("the late heartbeat arrives: " + std::to_string(late.status));
        // livenessS 3 after the end of the cut and the starts all machines are in touch.
        std::this_thread::sleep_until(begin + milliseconds(6300));
        const double judgedFrom = elapsed();
        m_record.line("all machines are in touch");
        while (elapsed() < acknowledgedAt + 8.5) {
            pause(milliseconds(20));
        }
        int counted = 0;
        constexpr int shown = 10;
        for (const backend_server::run &each : leaving.runs()) {
            if (each.at >= judgedFrom && each.at > acknowledgedAt + 2 && ++counted <= shown) {
                m_record.line("request " + each.id + " ran at the server that left, "
                              + std::to_string(each.at - acknowledgedAt)
                              + " s after the acknowledgement");
            }
        }
        m_record.line(
            (counted > 0 ? "BROKEN: " : "HELD: ") + std::to_string(counted)
            + " requests of a machine in touch reached the server later than drainS 2 after"
              " its leave was acknowledged");
        return counted > 0 ? broken : held;
    }

    std::unique_ptr<process> startSource(int zone, bool bootstrap) const
    {
        const std::string letter(1, "abc"[zone]);
        return m_site.startSource("core-" + letter,
                                  "zone-" + letter,
                                  m_site.seeds[static_cast<std::size_t>(zone)],
                                  bootstrap);
    }

    std::unique_ptr<process> startNode(int zone) const
    {
        const std::string letter(1, "abc"[zone]);
        return m_site.startNode("sidecar-" + letter,
                                "zone-" + letter,
                                m_nodes[static_cast<std::size_t>(zone)],
                                zone < 2 ? "timetable" : "waitlist");
    }

    http_answer announce(const backend_server &server,
                         const std::string &ip,
                         const std::string &zone,
                         int sequence) const
    {
        return call(ip,
                    m_site.used.admin,
                    "POST",
                    "/Instances.Heartbeat/" + server.instance(),
                    "Host: node\r\nContent-Type: application/json\r\n",
                    R"({"address":")" + server.address() + R"(","born":)" + std::to_string(m_born)
                        + R"(,"info":{"service":"timetable","version":"v1","zone":")" + zone
                        + R"(","capacity":12},"status":{"phase":"ready","sequence":)"
                        + std::to_string(sequence) + R"(,"coldRemainingS":0}})",
                    seconds(1));
    }

    // The server leaves without a heartbeat that says so, and repeats the call until it is
    // answered.
    bool withdraw(const backend_server &server)
    {
        for (int trial = 0; trial < 3; ++trial) {
            const http_answer answer = call(m_nodes[0],
                                            m_site.used.admin,
                                            "POST",
                                            "/Instances.Deregister/" + server.instance(),
                                            "Host: node\r\nContent-Type: application/json\r\n",
                                            R"({"born":)" + std::to_string(m_born) + "}",
                                            seconds(1));
            m_record.line("the server deregisters: "
                          + (answer.status == 0 ? answer.failure : std::to_string(answer.status)));
            if (answer.status == 200) {
                return true;
            }
        }
        return false;
    }

    // A client on the machine in zone-c, which nothing befalls, one request after another.
    void sendRequests()
    {
        while (!m_stops) {
            const std::string id = "req-" + std::to_string(++m_lastId);
            call(m_nodes[2],
                 m_site.used.outbound,
                 "GET",
                 "/lookup/" + id,
                 "Host: lane.example\r\nX-Jackdawweir-Attempt-Id: " + id
                     + "\r\nX-Jackdawweir-Deadline-Ms: 2000\r\n",
                 "",
                 milliseconds(2500));
            pause(milliseconds(20));
        }
    }

    bool replace(int base, int version, seconds within)
    {
        const auto until = steady::now() + within;
        for (std::size_t trial = 0; steady::now() < until; ++trial) {
            const http_answer answer = call(m_site.seeds[trial % 3],
                                            m_site.used.admin,
                                            "POST",
                                            "/Config.Replace",
                                            "Host: core\r\nContent-Type: application/json\r\n"
                                            "X-Jackdawweir-Base-Version: r"
                                                + std::to_string(base) + "\r\n",
                                            configuration(version),
                                            seconds(1));
            if (answer.status == 200) {
                m_record.line("r" + std::to_string(version) + " acknowledged");
                return true;
            }
            pause(milliseconds(100));
        }
        return false;
    }

    record_file m_record;
    deployment m_site;
    proxies m_links;
    std::vector<std::string> m_nodes;
    std::vector<std::unique_ptr<process>> m_sources;
    std::vector<std::unique_ptr<process>> m_sidecars;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stops{false};
    std::atomic<int> m_lastId{1000};
    const long long m_born = std::chrono::duration_cast<milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
};

bool isOn(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr || std::string(value) != "0";
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 2) {
        return notRun;
    }
    signal(SIGPIPE, SIG_IGN);
    origin();
    // WIPE=0 leaves the disk.
    return scenario(arguments[1]).run(isOn("TROUBLE"), isOn("WIPE"));
}
