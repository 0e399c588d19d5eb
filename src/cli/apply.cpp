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

constexpr std::chrono::milliseconds initialBackoff{100};
constexpr std::chrono::milliseconds maxBackoff{2000};
// The timeout of one attempt, after which the next server is tried.
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

// Sends one submission repeatedly until its outcome is known or the timeout expires.
class apply_loop
{
public:
    apply_loop(const command_context &context,
               const prepared_apply &prepared,
               core::random_engine &engine)
        : m_context(context)
        , m_prepared(prepared)
        , m_engine(engine)
        , m_deadline(m_clock.monotonicNow() + context.options.timeout)
    {
    }

    int run()
    {
        for (unsigned attempt = 0;; ++attempt) {
            if (const std::optional<int> exitCode = tryOnce(attempt)) {
                return *exitCode;
            }
            const auto pause
                = core::backoffWithFullJitter(m_engine, attempt, initialBackoff, maxBackoff);
            if (m_clock.monotonicNow() + pause >= m_deadline) {
                return reportTimeout();
            }
            std::this_thread::sleep_for(pause);
        }
    }

private:
    http_call makeCall(unsigned attempt) const
    {
        const std::vector<std::string> &servers = m_context.options.servers;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_deadline - m_clock.monotonicNow());
        http_call call;
        call.server = servers[attempt % servers.size()];
        call.method = "POST";
        call.path = "/v1/submit";
        call.headers = {{"Authorization", absl::StrCat("Bearer ", m_prepared.token)},
                        {"Jackdawweir-Submission", m_prepared.submission},
                        {"Jackdawweir-Expect", m_prepared.expect},
                        {"Content-Type", "application/yaml"}};
        call.body = m_prepared.yaml;
        call.timeout = std::clamp(remaining, std::chrono::milliseconds(1), attemptTimeout);
        return call;
    }

    // Returns the exit code, or nullopt while the outcome is not known.
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
        if (m_context.options.json) {
            m_context.out << reply.body;
            return exitCode;
        }
        try {
            const YAML::Node answer = YAML::Load(reply.body);
            m_context.out << answer["outcome"].as<std::string>() << ": ";
            for (const char *key : {"version", "winning", "reason"}) {
                if (answer[key]) {
                    m_context.out << answer[key].as<std::string>();
                }
            }
            m_context.out << '\n';
        } catch (const YAML::Exception &) {
            m_context.out << reply.body;
        }
        return exitCode;
    }

    int reportTimeout() const
    {
        if (!m_maybeSent) {
            printOutcome(m_context, "unreachable", "reason", m_lastReason);
            return exitUnreachable;
        }
        printOutcome(m_context, "unknown", "reason", m_lastReason);
        m_context.err << "jackdawweir: apply again with --submission " << m_prepared.submission
                      << " --expect " << m_prepared.expect << '\n';
        return exitUnknown;
    }

    const command_context &m_context;
    const prepared_apply &m_prepared;
    core::random_engine &m_engine;
    core::system_clock_source m_clock;
    core::monotonic_time m_deadline;
    bool m_maybeSent = false;
    std::string m_lastReason;
};

// Sets the submission id and the expected version if the options omit them. Returns an exit code if
// this fails.
std::optional<int>
setDefaults(const command_context &context, prepared_apply &prepared, core::random_engine &engine)
{
    if (prepared.submission.empty()) {
        const std::uint64_t high = engine();
        const std::uint64_t low = engine();
        prepared.submission = absl::StrCat(
            "apply-", absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
    }
    if (prepared.expect.empty()) {
        const std::optional<http_reply> current = getFromAny(context, "/v1/document");
        if (!current.has_value() || exitCodeOf(current->status) != exitDone) {
            printOutcome(context, "unreachable", "reason", "the current version cannot be read");
            return exitUnreachable;
        }
        prepared.expect = current->version;
    }
    if (!core::isOk(core::parseConfigVersion(prepared.expect))) {
        return reportUsageError(context, "--expect expects a version as status prints it");
    }
    return std::nullopt;
}

} // namespace

int runApply(const command_context &context)
{
    if (context.options.files.size() != 1 || context.options.servers.empty()) {
        return reportUsageError(context, "apply expects --file and --server");
    }
    const std::string &path = context.options.files.front();
    const std::optional<std::string> yaml = readFile(context, path);
    const std::optional<std::string> token = readToken(context);
    if (!yaml.has_value() || !token.has_value()) {
        return exitUsage;
    }
    const core::result<document::document> parsed = document::parseDocument(*yaml, path);
    if (const core::error *failure = core::errorIn(parsed)) {
        printOutcome(context, "refused", "reason", failure->message);
        return exitRefused;
    }
    core::random_engine engine = seededEngine();
    prepared_apply prepared{*yaml, *token, context.options.expect, context.options.submission};
    if (const std::optional<int> exitCode = setDefaults(context, prepared, engine)) {
        return *exitCode;
    }
    context.err << "submission " << prepared.submission << " expects " << prepared.expect << '\n';
    return apply_loop(context, prepared, engine).run();
}

} // namespace jackdawweir::cli
