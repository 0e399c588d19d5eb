// One machine is cut off from the others for a second and a half, and later a machine of the core
// loses its disk. See claim.txt.

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
        + route("r-lookup", "/lookup/", "timetable") + route("r-check", "/check/", "waitlist")
        + service("timetable") + service("waitlist")
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

    int run(bool hasTrouble)
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
        m_lookupIp = block + "11";
        m_waitlistIp = block + "12";
        for (const std::string &each :
             {m_site.seeds[0], m_site.seeds[1], m_site.seeds[2], m_lookupIp, m_waitlistIp}) {
            if (!m_links.add(each, m_site.used.mesh, m_site.used.meshBehindProxy)) {
                return notRun;
            }
        }
        const int code = play(hasTrouble);
        m_stops = true;
        for (std::thread &each : m_beats) {
            each.join();
        }
        m_processes.clear();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_site.folder, ignored);
        }
        return code;
    }

private:
    struct counted {
        int sent = 0;
        int served = 0;
        std::map<std::string, int> results;
    };

    int play(bool hasTrouble)
    {
        for (int source = 1; source <= 3; ++source) {
            m_processes.push_back(
                m_site.startSource("core-" + std::to_string(source),
                                   std::string("zone-") + "abc"[source - 1],
                                   m_site.seeds[static_cast<std::size_t>(source - 1)],
                                   true));
        }
        m_processes.push_back(m_site.startNode("sidecar-a", "zone-a", m_lookupIp, "timetable"));
        m_processes.push_back(m_site.startNode("sidecar-b", "zone-b", m_waitlistIp, "waitlist"));
        backend_server lookups(m_lookupIp, 18301, "i-timetable", milliseconds(20));
        backend_server checks(m_waitlistIp, 18301, "i-waitlist", milliseconds(20));
        if (!lookups.isListening() || !checks.isListening()) {
            return notRun;
        }
        keepAnnouncing(lookups, m_lookupIp, "timetable", "zone-a");
        keepAnnouncing(checks, m_waitlistIp, "waitlist", "zone-b");
        if (!replace(0, 3, seconds(20))) {
            return notRun;
        }
        pause(seconds(4));
        const counted before = requestAll("before", seconds(5));
        if (hasTrouble) {
            m_links.refuseNew(true);
            m_record.line("DISRUPTION: sidecar-a is cut off from all other machines, "
                          + std::to_string(m_links.reset(m_lookupIp)) + " connections end");
        }
        const auto healedAt = steady::now() + milliseconds(1500);
        requestAll("cut", milliseconds(1500));
        std::this_thread::sleep_until(healedAt);
        if (hasTrouble) {
            m_links.refuseNew(false);
            m_record.line("the cut has ended after 1.5 s");
        }
        requestAll("after", seconds(10));
        if (!replace(3, 5, seconds(8))) {
            m_record.line("r5 was not acknowledged");
            return notRun;
        }
        if (hasTrouble) {
            m_processes.at(2)->kill();
            std::filesystem::remove_all(m_site.dataOf("core-3"));
            m_record.line("DISRUPTION: the final fault: core-3 loses its disk after the change");
            pause(seconds(1));
            m_processes.at(2) = m_site.startSource("core-3", "zone-c", m_site.seeds[2], false);
        }
        m_record.line("all machines are back");
        requestAll("first 15 s", seconds(15));
        const counted last = requestAll("later than recoveryS 15", seconds(12));
        const bool isBroken = before.served * 4 >= before.sent && last.served * 4 < last.sent;
        m_record.line(isBroken ? "BROKEN: less than a quarter is served" : "HELD");
        return isBroken ? broken : held;
    }

    // A client on each machine asks the service of the other one, and now and then its own.
    counted requestAll(const std::string &when, milliseconds time)
    {
        counted ofOther;
        std::thread other([&] {
            ofOther = report(when,
                             m_waitlistIp,
                             {"/lookup/1", "/lookup/2", "/lookup/3", "/lookup/4", "/check/1"},
                             time);
        });
        counted all = report(
            when, m_lookupIp, {"/check/1", "/check/2", "/check/3", "/check/4", "/lookup/1"}, time);
        other.join();
        all.sent += ofOther.sent;
        all.served += ofOther.served;
        return all;
    }

    void keepAnnouncing(const backend_server &server,
                        const std::string &ip,
                        const std::string &name,
                        const std::string &zone)
    {
        const auto born = std::chrono::duration_cast<milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        m_beats.emplace_back([this, &server, ip, name, zone, born] {
            for (int sequence = 1; !m_stops; ++sequence) {
                call(ip,
                     m_site.used.admin,
                     "POST",
                     "/Instances.Heartbeat/" + server.instance(),
                     "Host: node\r\nContent-Type: application/json\r\n",
                     R"({"address":")" + server.address() + R"(","born":)" + std::to_string(born)
                         + R"(,"info":{"service":")" + name + R"(","version":"v1","zone":")" + zone
                         + R"(","capacity":12},"status":{"phase":"ready","sequence":)"
                         + std::to_string(sequence) + R"(,"coldRemainingS":0}})",
                     seconds(1));
                for (int part = 0; part < 17 && !m_stops; ++part) {
                    pause(milliseconds(50));
                }
            }
        });
    }

    // Sends requests of a client on a machine for a time, one after another.
    counted report(const std::string &when,
                   const std::string &ip,
                   const std::vector<std::string> &targets,
                   milliseconds time)
    {
        counted result;
        const auto until = steady::now() + time;
        while (steady::now() < until) {
            for (const std::string &target : targets) {
                const std::string id = std::to_string(++m_lastId);
                const http_answer answer
                    = call(ip,
                           m_site.used.outbound,
                           "GET",
                           target,
                           "Host: lane.example\r\nX-Jackdawweir-Attempt-Id: " + id
                               + "\r\nX-Jackdawweir-Deadline-Ms: 2000\r\n",
                           "",
                           milliseconds(2500));
                ++result.sent;
                const bool isServed = answer.status == 200
                    && headerOf(answer.head, "X-Jackdawweir-Server-Seal") == "seal-" + id;
                result.served += isServed ? 1 : 0;
                ++result.results[target.substr(0, target.rfind('/') + 1) + " -> "
                                 + (answer.status == 0 ? answer.failure
                                                       : std::to_string(answer.status))];
            }
            pause(milliseconds(50));
        }
        std::string text
            = when + ", client on " + (ip == m_lookupIp ? "sidecar-a" : "sidecar-b") + ": ";
        for (const auto &[what, count] : result.results) {
            text += what + " x " + std::to_string(count) + "; ";
        }
        m_record.line(text);
        return result;
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
    std::string m_lookupIp;
    std::string m_waitlistIp;
    std::vector<std::unique_ptr<process>> m_processes;
    std::vector<std::thread> m_beats;
    std::atomic<bool> m_stops{false};
    std::atomic<int> m_lastId{1000};
};

} // namespace

int main(int count, char **arguments)
{
    if (count != 2) {
        return notRun;
    }
    signal(SIGPIPE, SIG_IGN);
    origin();
    const char *trouble = std::getenv("TROUBLE");
    return scenario(arguments[1]).run(trouble == nullptr || std::string(trouble) != "0");
}
