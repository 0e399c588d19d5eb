#include "process/deployment.h"

#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <cppunit/TestAssert.h>

#include "process/wait.h"

namespace jackdawweir::process_test {

namespace {

constexpr unsigned dataCentreCount = 3;
// With only two hosts, and so two witnesses, the loss of either would leave no majority to activate
// a version.
constexpr unsigned hostsPerDataCentre = 3;
constexpr unsigned nodeMeshPort = 7001;
constexpr unsigned sourceMeshPort = 7002;
constexpr unsigned callersPort = 8080;
constexpr unsigned operatorsPort = 8081;
constexpr unsigned serverPort = 9001;
constexpr std::chrono::milliseconds readTimeout{1000};
// Longer than a node waits for the sources to decide a submission.
constexpr std::chrono::milliseconds submitTimeout{12'000};
constexpr long statusOk = 200;
constexpr const char *operatorToken = "process-test-token-0123456789";

std::string dataCentreName(unsigned number)
{
    return absl::StrCat("dc-", number);
}

std::string newFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "process-test-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(path.data()) != nullptr);
    return path;
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    CPPUNIT_ASSERT_MESSAGE(path, static_cast<bool>(file));
}

std::optional<cli::http_reply> replyTo(const cli::http_call &call)
{
    cli::http_result result = cli::callHttp(call);
    if (auto *reply = std::get_if<cli::http_reply>(&result)) {
        return std::move(*reply);
    }
    return std::nullopt;
}

std::optional<cli::http_reply> getFrom(const std::string &server, const std::string &path)
{
    cli::http_call call;
    call.server = server;
    call.path = path;
    call.timeout = readTimeout;
    return replyTo(call);
}

core::config_version versionFrom(const std::string &text)
{
    const core::result<core::config_version> parsed = core::parseConfigVersion(text);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("version ", text), core::isOk(parsed));
    return core::valueIn(parsed);
}

proxy::http_header authorization()
{
    return proxy::http_header{"Authorization", absl::StrCat("Bearer ", operatorToken)};
}

} // namespace

std::string toString(const host_id &host)
{
    return absl::StrCat("host-", host.dataCentre, host.number);
}

deployment::deployment(unsigned index)
    : m_index(index)
    , m_folder(newFolder())
{
    writeFile(m_folder + "/token", absl::StrCat(operatorToken, "\n"));
}

deployment::~deployment()
{
    if (std::uncaught_exceptions() > 0) {
        std::cerr << logTails();
    }
    m_servers.clear();
    m_daemons.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::vector<host_id> deployment::hosts()
{
    std::vector<host_id> all;
    for (unsigned dataCentre = 1; dataCentre <= dataCentreCount; ++dataCentre) {
        for (const host_id &host : hostsIn(dataCentre)) {
            all.push_back(host);
        }
    }
    return all;
}

std::vector<host_id> deployment::sources()
{
    std::vector<host_id> all = hosts();
    all.erase(std::remove_if(
                  all.begin(), all.end(), [](const host_id &host) { return host.number != 1; }),
              all.end());
    return all;
}

std::vector<host_id> deployment::hostsIn(unsigned dataCentre)
{
    std::vector<host_id> found;
    for (unsigned number = 1; number <= hostsPerDataCentre; ++number) {
        found.push_back({dataCentre, number});
    }
    return found;
}

std::string deployment::documentText(unsigned serial)
{
    constexpr unsigned deadlineMs = 2000;
    return absl::StrCat("services:\n"
                        "  - {name: quotes, versions: [{name: v1, share: 100}]}\n"
                        "routes:\n"
                        "  - {name: quote-lookup, path: /quotes/, service: quotes, kind: "
                        "idempotent, urgency: high, weight: 5, deadline: ",
                        deadlineMs + serial,
                        "ms}\n"
                        "  - {name: order, path: /orders/, service: quotes, kind: non-idempotent, "
                        "urgency: high, weight: 20, deadline: 4000ms}\n");
}

std::string deployment::address(host_id host, unsigned port) const
{
    constexpr unsigned addressesPerTest = 10;
    return absl::StrCat(
        "127.51.", m_index * addressesPerTest + host.dataCentre, ".", host.number, ":", port);
}

std::string deployment::dataFolder(host_id host) const
{
    return absl::StrCat(m_folder, "/data-", toString(host));
}

std::string deployment::logPath(host_id host) const
{
    return absl::StrCat(m_folder, "/", toString(host), ".log");
}

settings::daemon_settings deployment::settingsOf(host_id host) const
{
    settings::daemon_settings_builder builder;
    builder.host(toString(host), "north", dataCentreName(host.dataCentre))
        .callers(address(host, callersPort))
        .operators(address(host, operatorsPort))
        .mesh(address(host, nodeMeshPort))
        .operatorTokenFile(m_folder + "/token");
    for (unsigned dataCentre = 1; dataCentre <= dataCentreCount; ++dataCentre) {
        settings::data_centre_settings added;
        added.name.value = dataCentreName(dataCentre);
        added.region.value = "north";
        for (const host_id &candidate : hostsIn(dataCentre)) {
            added.relayCandidates.push_back({address(candidate, nodeMeshPort)});
        }
        builder.addDataCentre(added);
    }
    for (const host_id &source : sources()) {
        builder.addSource(address(source, sourceMeshPort));
    }
    if (host.number == 1) {
        builder.source({{address(host, sourceMeshPort)}, dataFolder(host)});
    }
    const core::result<settings::daemon_settings> built = builder.build();
    const core::error *failure = core::errorIn(built);
    CPPUNIT_ASSERT_MESSAGE(failure == nullptr ? "" : failure->message, failure == nullptr);
    return core::valueIn(built);
}

void deployment::spawnDaemon(host_id host)
{
    const std::string path = absl::StrCat(m_folder, "/", toString(host), ".yaml");
    writeFile(path, settings::toYaml(settingsOf(host)));
    m_daemons[host] = std::make_unique<child_process>(
        "jackdawweird", std::vector<std::string>{"--settings", path}, logPath(host));
}

void deployment::startDaemon(host_id host)
{
    spawnDaemon(host);
    CPPUNIT_ASSERT_MESSAGE(toString(host),
                           waitUntil(waitTimeout, [&] { return status(host).isReachable; }));
}

void deployment::killDaemon(host_id host)
{
    daemon(host).killAndReap();
}

child_process &deployment::daemon(host_id host)
{
    return *m_daemons.at(host);
}

void deployment::startServer(host_id host, std::chrono::microseconds work)
{
    const std::vector<std::string> arguments{"--service",
                                             "quotes",
                                             "--version",
                                             "v1",
                                             "--address",
                                             address(host, serverPort),
                                             "--node",
                                             address(host, operatorsPort),
                                             "--delay-us",
                                             std::to_string(work.count())};
    m_servers.erase(host);
    m_servers[host] = std::make_unique<child_process>(
        "jackdawweir-stand-in", arguments, m_folder + "/servers.log");
}

child_process &deployment::server(host_id host)
{
    return *m_servers.at(host);
}

void deployment::removeDataFolder(host_id host)
{
    std::filesystem::remove_all(dataFolder(host));
}

void deployment::start()
{
    constexpr std::chrono::microseconds shortWork{500};
    for (const host_id &host : hosts()) {
        spawnDaemon(host);
    }
    for (const host_id &host : hosts()) {
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return status(host).isReachable; }));
        startServer(host, shortWork);
    }
    cli::http_call init;
    init.server = address(sources().front(), operatorsPort);
    init.method = "POST";
    init.path = "/v1/init";
    init.headers = {authorization()};
    const std::optional<cli::http_reply> reply = replyTo(init);
    CPPUNIT_ASSERT_MESSAGE("init", reply.has_value() && reply->status == statusOk);
    for (const host_id &source : sources()) {
        CPPUNIT_ASSERT_MESSAGE(toString(source),
                               waitUntil(waitTimeout, [&] { return isVoter(source); }));
    }
    const submit_answer first = applyThrough({1, 1}, "first-document", documentText(0));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, std::string("accepted"), first.outcome);
    CPPUNIT_ASSERT_MESSAGE("every host serves the first document with all backend servers",
                           waitUntil(waitTimeout, [&] {
                               const std::vector<host_id> all = hosts();
                               return allServe(all, first.version)
                                   && std::all_of(all.begin(), all.end(), [&](const host_id &host) {
                                          return status(host).serverCount == all.size();
                                      });
                           }));
}

host_status deployment::status(host_id host) const
{
    host_status read;
    const auto reply = getFrom(address(host, operatorsPort), "/v1/status");
    if (!reply || reply->status != statusOk) {
        return read;
    }
    const YAML::Node answer = YAML::Load(reply->body);
    read.isReachable = true;
    read.version = versionFrom(answer["version"].as<std::string>());
    read.isServing = answer["serving"].as<bool>();
    read.isLeader = answer["leader"].as<bool>();
    read.serverCount = answer["backend-servers"].as<unsigned>();
    read.reason = answer["reason"].as<std::string>();
    return read;
}

std::optional<host_id> deployment::leader() const
{
    for (const host_id &source : sources()) {
        if (status(source).isLeader) {
            return source;
        }
    }
    return std::nullopt;
}

YAML::Node deployment::lastEventFields(host_id host, const std::string &name) const
{
    YAML::Node last(YAML::NodeType::Map);
    const auto reply = getFrom(address(host, operatorsPort), "/v1/timeline");
    std::istringstream lines(reply ? reply->body : "");
    for (std::string line; std::getline(lines, line);) {
        if (line.find(absl::StrCat("\"", name, "\"")) != std::string::npos) {
            last.reset(YAML::Load(line)["fields"]);
        }
    }
    return last;
}

bool deployment::isVoter(host_id host) const
{
    const YAML::Node role = lastEventFields(host, "source-role")["role"];
    return role.IsDefined() && role.as<std::string>() != "learner";
}

unsigned deployment::removedIdentities(host_id host) const
{
    const YAML::Node removed = lastEventFields(host, "source-members")["removed"];
    return removed.IsDefined() ? removed.as<unsigned>() : 0;
}

bool deployment::allServe(const std::vector<host_id> &asked,
                          const core::config_version &atLeast) const
{
    return std::all_of(asked.begin(), asked.end(), [&](const host_id &host) {
        const host_status read = status(host);
        return read.isServing && read.version >= atLeast;
    });
}

submit_answer deployment::submit(host_id host, const submitted_document &submitted) const
{
    cli::http_call call;
    call.server = address(host, operatorsPort);
    call.method = "POST";
    call.path = "/v1/submit";
    call.headers = {authorization(),
                    {"Jackdawweir-Submission", submitted.id},
                    {"Jackdawweir-Expect", core::toString(submitted.expected)}};
    call.body = submitted.yaml;
    call.timeout = submitTimeout;
    submit_answer read;
    const std::optional<cli::http_reply> reply = replyTo(call);
    if (!reply) {
        return read;
    }
    read.status = reply->status;
    read.body = reply->body;
    const YAML::Node answer = YAML::Load(reply->body);
    read.outcome = answer["outcome"].as<std::string>();
    for (const char *key : {"version", "winning"}) {
        if (answer[key]) {
            read.version = versionFrom(answer[key].as<std::string>());
        }
    }
    return read;
}

std::optional<cli::http_reply> deployment::currentDocument(host_id host) const
{
    cli::http_call call;
    call.server = address(host, operatorsPort);
    call.path = "/v1/document";
    call.timeout = submitTimeout;
    std::optional<cli::http_reply> reply = replyTo(call);
    if (reply && reply->status != statusOk) {
        reply.reset();
    }
    return reply;
}

submit_answer
deployment::applyThrough(host_id host, const std::string &id, const std::string &yaml) const
{
    submitted_document submitted{id, {}, yaml};
    CPPUNIT_ASSERT_MESSAGE("current version", waitUntil(waitTimeout, [&] {
                               const auto current = currentDocument(host);
                               if (current) {
                                   submitted.expected = versionFrom(current->version);
                               }
                               return current.has_value();
                           }));
    submit_answer decided;
    CPPUNIT_ASSERT_MESSAGE("submission is decided", waitUntil(waitTimeout, [&] {
                               decided = submit(host, submitted);
                               return decided.outcome == "accepted" || decided.outcome == "conflict"
                                   || decided.outcome == "refused";
                           }));
    return decided;
}

cli::http_result deployment::request(host_id host,
                                     const std::string &method,
                                     const std::string &path,
                                     const proxy::http_headers &headers) const
{
    constexpr std::chrono::milliseconds timeout{10'000};
    cli::http_call call;
    call.server = address(host, callersPort);
    call.method = method;
    call.path = path;
    call.headers = headers;
    call.timeout = timeout;
    return cli::callHttp(call);
}

std::string deployment::serverAddress(host_id host) const
{
    return address(host, serverPort);
}

unsigned deployment::runsAt(host_id host, const std::string &key) const
{
    const auto reply = getFrom(serverAddress(host), "/stand-in/runs");
    std::istringstream lines(reply ? reply->body : "");
    std::string counted;
    unsigned runs = 0;
    unsigned sum = 0;
    while (lines >> counted >> runs) {
        sum += key.empty() || counted == key ? runs : 0;
    }
    return sum;
}

unsigned deployment::runsOf(const std::string &key) const
{
    unsigned sum = 0;
    for (const host_id &host : hosts()) {
        sum += runsAt(host, key);
    }
    return sum;
}

std::string deployment::logTails() const
{
    constexpr std::size_t keptLines = 12;
    std::string tails;
    for (const host_id &host : hosts()) {
        std::ifstream log(logPath(host));
        std::vector<std::string> lines;
        for (std::string line; std::getline(log, line);) {
            lines.push_back(line);
        }
        absl::StrAppend(&tails, "log of ", toString(host), ":\n");
        const std::size_t skipped = lines.size() - std::min(lines.size(), keptLines);
        for (std::size_t index = skipped; index < lines.size(); ++index) {
            absl::StrAppend(&tails, "  ", lines[index], "\n");
        }
    }
    return tails;
}

} // namespace jackdawweir::process_test
