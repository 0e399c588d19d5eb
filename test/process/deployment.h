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
constexpr std::chrono::milliseconds waitTimeout{40'000};

struct host_id {
    unsigned dataCentre = 1;
    unsigned number = 1;

    friend auto operator<=>(const host_id &, const host_id &) = default;
};

std::string toString(const host_id &host);

// The status that a daemon reports; isReachable is false if it did not respond.
struct host_status {
    bool isReachable = false;
    core::config_version version;
    bool isServing = false;
    bool isLeader = false;
    unsigned serverCount = 0;
    std::string reason;
};

struct submit_answer {
    // The HTTP status; 0 if no response came.
    long status = 0;
    std::string outcome;
    // The version of the accepted document or, after a conflict, the winning version.
    core::config_version version;
    std::string body;
};

// The content of a submission: its id, the expected version and the document.
struct submitted_document {
    std::string id;
    core::config_version expected;
    std::string yaml;
};

class deployment
{
public:
    // Each index has its own addresses below 127.51, so that the deployments of different tests do
    // not collide.
    explicit deployment(unsigned index);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    static std::vector<host_id> hosts();
    static std::vector<host_id> sources();
    static std::vector<host_id> hostsIn(unsigned dataCentre);
    // A document with the routes /quotes/ (idempotent) and /orders/ (non-idempotent). Each serial
    // number gives a different document.
    static std::string documentText(unsigned serial);

    // Starts every daemon and one backend server for each host, initialises the first
    // source as the first voter, and waits until every source is a voter. Submits documentText(0)
    // and waits until each host serves it.
    void start();
    void startDaemon(host_id host);
    // Starts the daemon's process without waiting until its operators port responds.
    void spawnDaemon(host_id host);
    void killDaemon(host_id host);
    child_process &daemon(host_id host);
    // Replaces the host's backend server. The new one takes the given time for each request.
    void startServer(host_id host, std::chrono::microseconds work);
    child_process &server(host_id host);
    void removeDataFolder(host_id host);

    host_status status(host_id host) const;
    // The host whose source reports that it holds the leader lease.
    std::optional<host_id> leader() const;
    bool isVoter(host_id host) const;
    // The number of removed source identities in the newest membership that this source committed.
    unsigned removedIdentities(host_id host) const;
    bool allServe(const std::vector<host_id> &asked, const core::config_version &atLeast) const;
    submit_answer submit(host_id host, const submitted_document &submitted) const;
    // The newest accepted document, read from the sources through this host's daemon.
    std::optional<cli::http_reply> currentDocument(host_id host) const;
    // Resends the submission through one host until it is accepted, refused or in conflict.
    submit_answer applyThrough(host_id host, const std::string &id, const std::string &yaml) const;

    cli::http_result request(host_id host,
                             const std::string &method,
                             const std::string &path,
                             const proxy::http_headers &headers = {}) const;
    std::string serverAddress(host_id host) const;
    // How often the backend server of this host ran the request with this key; with an empty key,
    // how many requests with any key it ran. 0 if it does not respond.
    unsigned runsAt(host_id host, const std::string &key) const;
    // The sum of runsAt over all backend servers that respond.
    unsigned runsOf(const std::string &key) const;

    // The last lines of each daemon's log, for the message of a failed test.
    std::string logTails() const;

private:
    std::string address(host_id host, unsigned port) const;
    // The fields of the newest event of this name; an empty map if there is none.
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
