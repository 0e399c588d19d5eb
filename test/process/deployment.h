// A deployment of three data centres with three hosts each on loopback, run as child processes. The
// first host of each data centre also runs a source.
//
//     deployment run(1);
//     run.start();
//     const submit_answer first = run.applyNext(run.documentText(1));
//     run.daemon({2, 1}).kill(SIGKILL);

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "cli/http_client.h"
#include "jackdawweir/core/config_version.h"
#include "jackdawweir/settings/settings.h"
#include "process/child_process.h"

namespace jackdawweir::process_test {

// Longer than any start or election needs on a busy machine.
constexpr std::chrono::milliseconds generousBound{40'000};

struct host_id {
    unsigned dataCentre = 1;
    unsigned number = 1;

    friend auto operator<=>(const host_id &, const host_id &) = default;
};

std::string toString(const host_id &host);

// What a daemon reports of itself; isReached is false where it gave no answer.
struct host_status {
    bool isReached = false;
    core::config_version version;
    bool isServing = false;
    bool isLeader = false;
    unsigned serverCount = 0;
    std::string reason;
};

struct submit_answer {
    // The HTTP status; 0 where no answer came.
    long status = 0;
    std::string outcome;
    // The accepted or the winning version.
    core::config_version version;
    std::string body;
};

// A document as a submission carries it.
struct submitted_document {
    std::string id;
    core::config_version expected;
    std::string yaml;
};

class deployment
{
public:
    // Each index has addresses of its own below 127.51, so that tests do not meet.
    explicit deployment(unsigned index);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    static std::vector<host_id> hosts();
    static std::vector<host_id> sources();
    static std::vector<host_id> hostsIn(unsigned dataCentre);
    // A document with the routes /quotes/ (idempotent) and /orders/ (non-idempotent). Each serial
    // gives another content.
    static std::string documentText(unsigned serial);

    // Starts every daemon and one backend server for each host, makes the first source the first
    // voter, and waits until every source votes. Accepts documentText(0) and waits until each host
    // serves it.
    void start();
    void startDaemon(host_id host);
    // Starts the daemon's process without waiting for its operators' port.
    void spawnDaemon(host_id host);
    void killDaemon(host_id host);
    child_process &daemon(host_id host);
    // Replaces the host's backend server. Each request takes the given time of work.
    void startServer(host_id host, std::chrono::microseconds work);
    child_process &server(host_id host);
    void loseDataFolder(host_id host);

    host_status status(host_id host) const;
    // The host whose source holds the lease, by its own report.
    std::optional<host_id> leader() const;
    bool isVoter(host_id host) const;
    // The number of removed source identities in the newest membership that this source committed.
    unsigned removedIdentities(host_id host) const;
    bool allServe(const std::vector<host_id> &asked, const core::config_version &atLeast) const;
    submit_answer submit(host_id host, const submitted_document &submitted) const;
    // The accepted document as the sources hold it now.
    std::optional<cli::http_reply> currentDocument(host_id host) const;
    // Submits through one host until a source decided.
    submit_answer applyThrough(host_id host, const std::string &id, const std::string &yaml) const;

    cli::http_result request(host_id host,
                             const std::string &method,
                             const std::string &path,
                             const std::vector<std::string> &headers = {}) const;
    std::string serverAddress(host_id host) const;
    // How often the backend server of this host ran the request with this key; with an empty key,
    // how many requests with any key it ran. 0 where it gives no answer.
    unsigned runsAt(host_id host, const std::string &key) const;
    // The sum over all backend servers that answer.
    unsigned runsOf(const std::string &key) const;

    // The last lines of each daemon's log, for the message of a failed test.
    std::string logTails() const;

private:
    std::string address(host_id host, unsigned port) const;
    // The fields of the newest event of this name; an empty map where there is none.
    YAML::Node lastEventFields(host_id host, const std::string &name) const;
    settings::daemon_settings settingsOf(host_id host) const;
    std::string dataFolder(host_id host) const;
    std::string logPath(host_id host) const;

    unsigned m_index;
    std::string m_folder;
    std::map<host_id, std::unique_ptr<child_process>> m_daemons;
    std::map<host_id, std::unique_ptr<child_process>> m_servers;
};

} // namespace jackdawweir::process_test
