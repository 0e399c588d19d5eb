#include "console/pages.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include "console/api.h"
#include "console/edit_pages.h"
#include "console/form.h"
#include "console/layout.h"
#include "console/overview_page.h"
#include "jackdawweir/document/difference.h"
#include "jackdawweir/document/parse.h"

namespace jackdawweir::console::internal {

namespace {

// The submission that the form of a preview or outcome page sends to /apply.
struct prepared_submission {
    std::string id;
    std::string expect;
    std::string yaml;
};

void writeApplyForm(html_writer &page, const prepared_submission &prepared, const char *button)
{
    page.markup("<form method=\"post\" action=\"/apply\">\n");
    page.hidden("submission", prepared.id);
    page.hidden("expect", prepared.expect);
    page.hidden("yaml", prepared.yaml);
    page.input("Operator token", "password", "token", "");
    page.markup("<p><button>").text(button).markup("</button></p>\n</form>\n");
}

http_response conflictPage(const std::string &expect, const core::config_version &winning)
{
    html_writer page;
    page.markup("<p>Another change was accepted first. Nothing of this change was applied.</p>\n"
                "<p>This change expected version <code>")
        .text(expect)
        .markup("</code>; the winning version is <code>")
        .text(core::toString(winning))
        .markup("</code>.</p>\n<p><a href=\"/\">Look at the winning version</a> and make the "
                "change again if it is still wanted.</p>\n");
    return pageResponse(statusConflict, "Conflict", page.take());
}

// Converts the outcome of a submission into a page.
struct outcome_page {
    const prepared_submission &prepared;

    http_response operator()(const submission_accepted &accepted) const
    {
        html_writer page;
        page.markup("<p>Version <code>")
            .text(core::toString(accepted.version))
            .markup("</code> is accepted.</p>\n");
        return pageResponse(statusOk, "Accepted", page.take());
    }

    http_response operator()(const submission_refused &refused) const
    {
        return messagePage(statusUnprocessable, "Refused", refused.reason.message);
    }

    http_response operator()(const submission_conflict &conflict) const
    {
        return conflictPage(prepared.expect, conflict.winning);
    }

    http_response operator()(const submission_unknown &unknown) const
    {
        html_writer page;
        page.markup("<p>It is not known whether the change was accepted: ")
            .text(unknown.reason)
            .markup("</p>\n<p>Send the same submission again. It is applied at most once, and the "
                    "answer is its first outcome.</p>\n");
        writeApplyForm(page, prepared, "Send again");
        return pageResponse(statusGatewayTimeout, "Outcome unknown", page.take());
    }
};

http_response previewPage(const shown_document &shown,
                          const document::document &edited,
                          const prepared_submission &prepared)
{
    const document::document_difference difference = document::differenceOf(shown.parsed, edited);
    if (difference.empty()) {
        return messagePage(statusOk, "No change", "The form changes nothing.");
    }
    html_writer page;
    page.markup("<p>The change of version <code>").text(prepared.expect).markup("</code>:</p>\n");
    page.markup("<pre>").text(document::toText(difference)).markup("</pre>\n");
    writeApplyForm(page, prepared, "Apply");
    return pageResponse(statusOk, "Preview", page.take());
}

http_response
handlePreview(control_plane &plane, const std::string &submissionId, const form_fields &form)
{
    const core::result<shown_document> shown = loadDocument(plane);
    if (const core::error *failure = core::errorIn(shown)) {
        return failurePage(*failure);
    }
    const shown_document &current = core::valueIn(shown);
    // The form was made from another version, so its values would overwrite newer ones.
    if (form.get("expect") != core::toString(current.version)) {
        return conflictPage(form.get("expect"), current.version);
    }
    const core::result<document::document> edited = applyEdit(current.parsed, form);
    if (const core::error *failure = core::errorIn(edited)) {
        return messagePage(statusUnprocessable, "Refused", failure->message);
    }
    const prepared_submission prepared{
        submissionId, form.get("expect"), document::toYaml(core::valueIn(edited))};
    const core::result<document::document> checked
        = document::parseDocument(prepared.yaml, "document");
    if (const core::error *failure = core::errorIn(checked)) {
        return messagePage(statusUnprocessable, "Refused", failure->message);
    }
    const core::status times
        = document::checkCompletionTimes(core::valueIn(checked), current.parsed, plane.now());
    if (const core::error *failure = core::errorIn(times)) {
        return messagePage(statusUnprocessable, "Refused", failure->message);
    }
    return previewPage(current, core::valueIn(checked), prepared);
}

http_response handleApply(control_plane &plane, const std::string &token, const form_fields &form)
{
    if (!tokensMatch(token, form.get("token"))) {
        return messagePage(statusUnauthorized, "Refused", "Operator token missing or wrong.");
    }
    const core::result<core::config_version> expected
        = core::parseConfigVersion(form.get("expect"));
    if (core::errorIn(expected) != nullptr || form.get("submission").empty()) {
        return messagePage(statusBadRequest, "Refused", "The form is incomplete.");
    }
    // Browsers convert the line ends of a form field to CR LF.
    const std::string yaml
        = absl::StrCat(absl::StrReplaceAll(form.get("yaml"), {{"\r\n", "\n"}}), "\n");
    const prepared_submission prepared{form.get("submission"), form.get("expect"), yaml};
    const submission submitted{core::submission_id{prepared.id}, core::valueIn(expected), yaml};
    return std::visit(outcome_page{prepared}, submitChecked(plane, submitted));
}

http_response handleEdit(control_plane &plane, const http_request &request)
{
    const auto page = request.path == "/service" ? servicePage
        : request.path == "/route"               ? routePage
                                                 : movePage;
    const core::result<shown_document> shown = loadDocument(plane);
    if (const core::error *failure = core::errorIn(shown)) {
        return failurePage(*failure);
    }
    const auto name = request.query.find("name");
    return page(core::valueIn(shown), name == request.query.end() ? "" : name->second);
}

} // namespace

http_response handlePage(control_plane &plane,
                         const std::string &token,
                         const std::string &submissionId,
                         const http_request &request)
{
    const std::string call = absl::StrCat(request.method, " ", request.path);
    if (call == "GET /") {
        return overviewPage(plane);
    }
    if (call == "GET /service" || call == "GET /route" || call == "GET /move") {
        return handleEdit(plane, request);
    }
    if (call == "POST /preview") {
        return handlePreview(plane, submissionId, form_fields(request.body));
    }
    if (call == "POST /apply") {
        return handleApply(plane, token, form_fields(request.body));
    }
    return messagePage(statusNotFound, "Not found", "There is no such page.");
}

} // namespace jackdawweir::console::internal
