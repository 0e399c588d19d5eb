#include "console/layout.h"

#include "jackdawweir/document/parse.h"

namespace jackdawweir::console::internal {

core::result<shown_document> loadDocument(control_plane &plane)
{
    const core::result<current_document> current = plane.currentDocument();
    if (const core::error *failure = core::errorIn(current)) {
        return *failure;
    }
    const current_document &acceptedDocument = core::valueIn(current);
    if (acceptedDocument.yaml.empty()) {
        return shown_document{acceptedDocument.version, {}};
    }
    const core::result<document::document> parsed
        = document::parseDocument(acceptedDocument.yaml, "accepted document");
    if (const core::error *failure = core::errorIn(parsed)) {
        return *failure;
    }
    return shown_document{acceptedDocument.version, core::valueIn(parsed)};
}

http_response pageResponse(unsigned status, const char *title, const std::string &content)
{
    html_writer page;
    page.markup("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .text(title)
        .markup(" - jackdawweir</title><style>body{font-family:sans-serif;max-width:60em;"
                "margin:1em auto}table{border-collapse:collapse}td,th{border:1px solid #888;"
                "padding:.2em .6em;text-align:left}pre{background:#eee;padding:.5em}</style>"
                "</head><body>\n<p><a href=\"/\">Overview</a></p>\n<h1>")
        .text(title)
        .markup("</h1>\n");
    std::string html = page.take();
    html += content;
    html += "</body></html>\n";
    return http_response{status, htmlType, html, ""};
}

http_response messagePage(unsigned status, const char *title, const std::string &message)
{
    html_writer page;
    page.markup("<p>").text(message).markup("</p>\n");
    return pageResponse(status, title, page.take());
}

http_response failurePage(const core::error &failure)
{
    return messagePage(statusUnavailable, "Not available", core::toString(failure));
}

} // namespace jackdawweir::console::internal
