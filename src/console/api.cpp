#include "console/api.h"

#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include "console/form.h"
#include "jackdawweir/document/parse.h"
#include "jackdawweir/document/text.h"
#include "jackdawweir/observe/json.h"

namespace jackdawweir::console::internal {

namespace {

using observe::json_object;

http_response jsonResponse(unsigned status, const YAML::Emitter &out)
{
    return http_response{status, jsonType, absl::StrCat(out.c_str(), "\n"), ""};
}

http_response
outcomeResponse(unsigned status, const char *outcome, const char *key, const std::string &value)
{
    YAML::Emitter out;
    json_object(out).add("outcome", outcome).add(key, value).end();
    return jsonResponse(status, out);
}

http_response refusedResponse(unsigned status, const std::string &reason)
{
    return outcomeResponse(status, "refused", "reason", reason);
}

unsigned statusOf(core::error_code code)
{
    switch (code) {
    case core::error_code::InvalidArgument:
        return statusUnprocessable;
    case core::error_code::Conflict:
        return statusConflict;
    case core::error_code::PermissionDenied:
        return statusUnauthorized;
    case core::error_code::NotFound:
        return statusNotFound;
    case core::error_code::DeadlineExceeded:
        return statusGatewayTimeout;
    default:
        return statusUnavailable;
    }
}

http_response errorResponse(const core::error &failure)
{
    return refusedResponse(statusOf(failure.code), core::toString(failure));
}

http_response doneResponse(const core::status &outcome)
{
    if (const core::error *failure = core::errorIn(outcome)) {
        return errorResponse(*failure);
    }
    YAML::Emitter out;
    json_object(out).add("outcome", "done").end();
    return jsonResponse(statusOk, out);
}

// Converts the outcome of a submission into a response.
struct outcome_visitor {
    http_response operator()(const submission_accepted &accepted) const
    {
        return outcomeResponse(statusOk, "accepted", "version", core::toString(accepted.version));
    }

    http_response operator()(const submission_refused &refused) const
    {
        return refusedResponse(statusUnprocessable, refused.reason.message);
    }

    http_response operator()(const submission_conflict &conflict) const
    {
        return outcomeResponse(
            statusConflict, "conflict", "winning", core::toString(conflict.winning));
    }

    http_response operator()(const submission_unknown &unknown) const
    {
        return outcomeResponse(statusGatewayTimeout, "unknown", "reason", unknown.reason);
    }
};

http_response handleSubmit(control_plane &plane, const http_request &request)
{
    if (request.submission.empty()) {
        return refusedResponse(statusBadRequest, "header Jackdawweir-Submission is missing");
    }
    const core::result<core::config_version> expected = core::parseConfigVersion(request.expect);
    if (const core::error *failure = core::errorIn(expected)) {
        return refusedResponse(statusBadRequest,
                               absl::StrCat("header Jackdawweir-Expect: ", failure->message));
    }
    const submission submitted{
        core::submission_id{request.submission}, core::valueIn(expected), request.body};
    return std::visit(outcome_visitor{}, submitChecked(plane, submitted));
}

http_response handleStatus(control_plane &plane, const http_request & /*request*/)
{
    const process_status status = plane.status();
    YAML::Emitter out;
    json_object(out)
        .add("host", status.host.value)
        .add("data-centre", status.dataCentre.value)
        .add("region", status.region.value)
        .add("role", status.role)
        .add("version", core::toString(status.inForce))
        .add("serving", status.serving)
        .add("draining", status.draining)
        .add("leader", status.leader)
        .add("backend-servers", status.backendServers)
        .add("reason", status.reason)
        .end();
    return jsonResponse(statusOk, out);
}

http_response handleHistory(control_plane &plane, const http_request & /*request*/)
{
    const core::result<std::vector<history_entry>> history = plane.history();
    if (const core::error *failure = core::errorIn(history)) {
        return errorResponse(*failure);
    }
    YAML::Emitter out;
    out << YAML::Flow << YAML::BeginSeq;
    for (const history_entry &entry : core::valueIn(history)) {
        json_object(out)
            .add("version", core::toString(entry.version))
            .add("accepted-at", document::formatTime(entry.acceptedAt))
            .add("submission", entry.submission.value)
            .add("summary", entry.summary)
            .end();
    }
    out << YAML::EndSeq;
    return jsonResponse(statusOk, out);
}

http_response handleMoves(control_plane &plane, const http_request & /*request*/)
{
    const core::result<std::vector<document::move_state>> moves = plane.moves();
    if (const core::error *failure = core::errorIn(moves)) {
        return errorResponse(*failure);
    }
    YAML::Emitter out;
    out << YAML::Flow << YAML::BeginSeq;
    for (const document::move_state &move : core::valueIn(moves)) {
        json_object(out)
            .add("id", move.id)
            .add("service", move.request.service.value)
            .add("from", move.request.from.value)
            .add("to", move.request.to.value)
            .add("done-by", document::formatTime(move.request.doneBy))
            .add("phase", document::toString(move.phase))
            .add("new-share-basis-points", move.newShareBasisPoints)
            .add("reason", move.reason)
            .end();
    }
    out << YAML::EndSeq;
    return jsonResponse(statusOk, out);
}

http_response handleDocument(control_plane &plane, const http_request & /*request*/)
{
    const core::result<current_document> current = plane.currentDocument();
    if (const core::error *failure = core::errorIn(current)) {
        return errorResponse(*failure);
    }
    const current_document &acceptedDocument = core::valueIn(current);
    return http_response{
        statusOk, yamlType, acceptedDocument.yaml, core::toString(acceptedDocument.version)};
}

http_response handleTimeline(control_plane &plane, const http_request & /*request*/)
{
    return http_response{statusOk, "application/x-ndjson", plane.timelineLines(), ""};
}

http_response handleMetrics(control_plane &plane, const http_request & /*request*/)
{
    return http_response{statusOk, "text/plain; version=0.0.4", plane.metricsText(), ""};
}

http_response handleDrain(control_plane &plane, const http_request & /*request*/)
{
    return doneResponse(plane.drain());
}

http_response handleInit(control_plane &plane, const http_request & /*request*/)
{
    return doneResponse(plane.init());
}

http_response handleAnnounce(control_plane &plane, const http_request &request)
{
    const core::result<membership::backend_server> announced
        = readAnnouncement(form_fields(request.body));
    if (const core::error *failure = core::errorIn(announced)) {
        return errorResponse(*failure);
    }
    return doneResponse(plane.announce(core::valueIn(announced)));
}

http_response handleWithdraw(control_plane &plane, const http_request &request)
{
    const form_fields form(request.body);
    const core::result<std::uint64_t> incarnation = readIncarnation(form);
    if (const core::error *failure = core::errorIn(incarnation)) {
        return errorResponse(*failure);
    }
    return doneResponse(
        plane.withdraw(core::endpoint{form.get("address")}, core::valueIn(incarnation)));
}

// Ids are stored in the replicated submission table, so their length is limited.
constexpr std::size_t maxSubmissionIdLength = 128;

bool isSubmissionId(const std::string &id)
{
    constexpr const char *alphabet
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !id.empty() && id.size() <= maxSubmissionIdLength
        && id.find_first_not_of(alphabet) == std::string::npos;
}

struct api_call {
    bool needsToken = false;
    http_response (*handle)(control_plane &, const http_request &) = nullptr;
};

// Announcements do not require the operator token, since backend servers do not have it.
const std::map<std::string, api_call> apiCalls{
    {"POST /v1/submit", {true, handleSubmit}},
    {"POST /v1/drain", {true, handleDrain}},
    {"POST /v1/init", {true, handleInit}},
    {"GET /v1/status", {false, handleStatus}},
    {"GET /v1/history", {false, handleHistory}},
    {"GET /v1/moves", {false, handleMoves}},
    {"GET /v1/timeline", {false, handleTimeline}},
    {"GET /v1/document", {false, handleDocument}},
    {"PUT /v1/announce", {false, handleAnnounce}},
    {"DELETE /v1/announce", {false, handleWithdraw}},
    {"GET /metrics", {false, handleMetrics}},
};

} // namespace

bool tokensMatch(const std::string &expected, const std::string &given)
{
    unsigned difference = expected.size() == given.size() ? 0U : 1U;
    for (std::size_t index = 0; index < given.size(); ++index) {
        const char compared = expected.empty() ? '\0' : expected[index % expected.size()];
        difference
            |= static_cast<unsigned char>(compared) ^ static_cast<unsigned char>(given[index]);
    }
    return difference == 0 && !expected.empty();
}

submission_outcome submitChecked(control_plane &plane, const submission &submitted)
{
    if (!isSubmissionId(submitted.id.value)) {
        return submission_refused{core::error{core::error_code::InvalidArgument,
                                              "check-submission",
                                              "",
                                              absl::StrCat("submission id: expected 1 to ",
                                                           maxSubmissionIdLength,
                                                           " letters, digits, '.', '_' or '-'")}};
    }
    const core::result<document::document> parsed
        = document::parseDocument(submitted.yaml, "document");
    if (const core::error *failure = core::errorIn(parsed)) {
        return submission_refused{*failure};
    }
    return plane.submit(submitted);
}

http_response handleApi(control_plane &plane, const std::string &token, const http_request &request)
{
    const auto found = apiCalls.find(absl::StrCat(request.method, " ", request.path));
    if (found == apiCalls.end()) {
        return refusedResponse(statusNotFound, "no such method and path");
    }
    const std::string given(absl::StripPrefix(request.authorization, "Bearer "));
    if (found->second.needsToken && !tokensMatch(token, given)) {
        return refusedResponse(statusUnauthorized, "operator token missing or wrong");
    }
    return found->second.handle(plane, request);
}

} // namespace jackdawweir::console::internal
