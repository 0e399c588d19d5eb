#include "cli/apply.h"

#include <algorithm>
#include <ostream>
#include <random>
#include <thread>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

#include "jackdawweir/cli/cli.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/document/parse.h"

namespace jackdawweir::cli {

namespace {

constexpr std::chrono::milliseconds firstBackoff{100};
constexpr std::chrono::milliseconds longestBackoff{2000};
// An attempt that gets no answer is given up after this time, so that another server is asked.
constexpr std::chrono::milliseconds attemptTimeout{10'000};

core::random_engine seededEngine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return core::random_engine(seed);
}

struct prepared_apply {
    std::string yaml;
    std::string token;
    std::string expect;
    std::string submission;
};

// Sends one submission until its outcome is known.
class apply_loop
{
public:
    apply_loop(const session &run, const prepared_apply &prepared, core::random_engine &engine)
        : m_run(run)
        , m_prepared(prepared)
        , m_engine(engine)
        , m_deadline(m_clock.monotonicNow() + run.options.timeout)
    {
    }

    int run()
    {
        for (unsigned attempt = 0;; ++attempt) {
            if (const std::optional<int> exitCode = tryOnce(attempt)) {
                return *exitCode;
            }
            const auto pause
                = core::backoffWithFullJitter(m_engine, attempt, firstBackoff, longestBackoff);
            if (m_clock.monotonicNow() + pause >= m_deadline) {
                return giveUp();
            }
            std::this_thread::sleep_for(pause);
        }
    }

private:
    http_call makeCall(unsigned attempt) const
    {
        const std::vector<std::string> &servers = m_run.options.servers;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_deadline - m_clock.monotonicNow());
        http_call call;
        call.server = servers[attempt % servers.size()];
        call.method = "POST";
        call.path = "/v1/submit";
        call.headers = {absl::StrCat("Authorization: Bearer ", m_prepared.token),
                        absl::StrCat("Jackdawweir-Submission: ", m_prepared.submission),
                        absl::StrCat("Jackdawweir-Expect: ", m_prepared.expect),
                        "Content-Type: application/yaml"};
        call.body = m_prepared.yaml;
        call.timeout = std::clamp(left, std::chrono::milliseconds(1), attemptTimeout);
        return call;
    }

    // Returns nothing while the outcome is not known.
    std::optional<int> tryOnce(unsigned attempt)
    {
        const http_result result = callHttp(makeCall(attempt));
        if (const auto *failure = std::get_if<http_failure>(&result)) {
            m_maybeSent = m_maybeSent || failure->maybeSent;
            m_lastReason = failure->message;
            return std::nullopt;
        }
        const auto &reply = std::get<http_reply>(result);
        const int exitCode = exitCodeOf(reply.status);
        if (exitCode == exitDone || exitCode == exitRefused) {
            return report(reply, exitCode);
        }
        m_maybeSent = true;
        m_lastReason = absl::StrCat("answer ", reply.status, " ", reply.body);
        while (!m_lastReason.empty() && m_lastReason.back() == '\n') {
            m_lastReason.pop_back();
        }
        return std::nullopt;
    }

    int report(const http_reply &reply, int exitCode) const
    {
        if (m_run.options.json) {
            m_run.out << reply.body;
            return exitCode;
        }
        try {
            const YAML::Node answer = YAML::Load(reply.body);
            m_run.out << answer["outcome"].as<std::string>() << ": ";
            for (const char *key : {"version", "winning", "reason"}) {
                if (answer[key]) {
                    m_run.out << answer[key].as<std::string>();
                }
            }
            m_run.out << '\n';
        } catch (const YAML::Exception &) {
            m_run.out << reply.body;
        }
        return exitCode;
    }

    int giveUp() const
    {
        if (!m_maybeSent) {
            printOutcome(m_run, "unreachable", "reason", m_lastReason);
            return exitUnreachable;
        }
        printOutcome(m_run, "unknown", "reason", m_lastReason);
        m_run.err << "jackdawweir: apply again with --submission " << m_prepared.submission
                  << " --expect " << m_prepared.expect << '\n';
        return exitUnknown;
    }

    const session &m_run;
    const prepared_apply &m_prepared;
    core::random_engine &m_engine;
    core::system_clock_source m_clock;
    core::monotonic_time m_deadline;
    bool m_maybeSent = false;
    std::string m_lastReason;
};

// Sets what the options leave out. Returns an exit code where that fails.
std::optional<int>
complete(const session &run, prepared_apply &prepared, core::random_engine &engine)
{
    if (prepared.submission.empty()) {
        const std::uint64_t high = engine();
        const std::uint64_t low = engine();
        prepared.submission = absl::StrCat(
            "apply-", absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
    }
    if (prepared.expect.empty()) {
        const std::optional<http_reply> current = getFromAny(run, "/v1/document");
        if (!current.has_value() || exitCodeOf(current->status) != exitDone) {
            printOutcome(run, "unreachable", "reason", "the current version cannot be read");
            return exitUnreachable;
        }
        prepared.expect = current->version;
    }
    if (!core::isOk(core::parseConfigVersion(prepared.expect))) {
        return reportUsage(run, "--expect expects a version as status prints it");
    }
    return std::nullopt;
}

} // namespace

int runApply(const session &run)
{
    if (run.options.files.size() != 1 || run.options.servers.empty()) {
        return reportUsage(run, "apply expects --file and --server");
    }
    const std::string &path = run.options.files.front();
    const std::optional<std::string> yaml = readFile(run, path);
    const std::optional<std::string> token = readToken(run);
    if (!yaml.has_value() || !token.has_value()) {
        return exitUsage;
    }
    const core::result<document::document> parsed = document::parseDocument(*yaml, path);
    if (const core::error *failure = core::errorIn(parsed)) {
        printOutcome(run, "refused", "reason", failure->message);
        return exitRefused;
    }
    core::random_engine engine = seededEngine();
    prepared_apply prepared{*yaml, *token, run.options.expect, run.options.submission};
    if (const std::optional<int> exitCode = complete(run, prepared, engine)) {
        return *exitCode;
    }
    run.err << "submission " << prepared.submission << " expects " << prepared.expect << '\n';
    return apply_loop(run, prepared, engine).run();
}

} // namespace jackdawweir::cli
