#include "console/overview_page.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "jackdawweir/document/text.h"

namespace jackdawweir::console::internal {

namespace {

void writeCell(html_writer &page, std::string_view value)
{
    page.markup("<td>").text(value).markup("</td>");
}

void writeLinkCell(html_writer &page, std::string_view path, std::string_view name)
{
    page.markup("<td><a href=\"").text(path).text(name).markup("\">").text(name);
    page.markup("</a></td>");
}

void writeStatus(html_writer &page, const process_status &status)
{
    page.markup("<p>Host ").text(status.host.value).markup(" in ").text(status.dataCentre.value);
    page.markup(" (").text(status.role).markup("), version in force <code>");
    page.text(core::toString(status.inForce)).markup("</code>, ");
    page.text(status.serving ? "serving" : "not serving");
    page.text(status.draining ? ", draining" : "");
    page.markup(", backend servers: ").text(absl::StrCat(status.backendServers)).markup("</p>\n");
    if (!status.reason.empty()) {
        page.markup("<p><strong>").text(status.reason).markup("</strong></p>\n");
    }
}

void writeServices(html_writer &page, const document::document &shown)
{
    page.markup("<h2>Services</h2><table><tr><th>Service</th><th>Shares</th></tr>\n");
    for (const document::service &each : shown.services) {
        page.markup("<tr>");
        writeLinkCell(page, "/service?name=", each.name.value);
        page.markup("<td>");
        for (const document::version_share &share : each.versions) {
            page.text(absl::StrCat(share.version.value, " ", share.percent, "% "));
        }
        page.markup("</td></tr>\n");
    }
    page.markup("</table><p><a href=\"/service\">Add a service</a></p>\n");
}

void writeRoutes(html_writer &page, const document::document &shown)
{
    page.markup("<h2>Routes</h2><table><tr><th>Route</th><th>Path prefix</th><th>Service</th>"
                "<th>Kind</th><th>Urgency</th><th>Weight</th><th>Deadline</th></tr>\n");
    for (const document::route &each : shown.routes) {
        page.markup("<tr>");
        writeLinkCell(page, "/route?name=", each.name.value);
        writeCell(page, each.pathPrefix);
        writeCell(page, each.service.value);
        writeCell(page, document::toString(each.contract.kind));
        writeCell(page, document::toString(each.contract.urgency));
        writeCell(page, absl::StrCat(each.contract.weight));
        writeCell(page, document::formatDuration(each.contract.deadline));
        page.markup("</tr>\n");
    }
    page.markup("</table><p><a href=\"/route\">Add a route</a></p>\n");
}

void writeMoves(html_writer &page, const std::vector<document::move_state> &moves)
{
    page.markup("<h2>Moves</h2><table><tr><th>Service</th><th>From</th><th>To</th>"
                "<th>Completion time</th><th>State</th><th>New share</th><th>Reason</th></tr>\n");
    for (const document::move_state &each : moves) {
        constexpr double basisPointsPerPercent = 100;
        page.markup("<tr>");
        writeLinkCell(page, "/move?name=", each.request.service.value);
        writeCell(page, each.request.from.value);
        writeCell(page, each.request.to.value);
        writeCell(page, document::formatTime(each.request.doneBy));
        writeCell(page, document::toString(each.phase));
        writeCell(page,
                  absl::StrFormat("%.2f%%", each.newShareBasisPoints / basisPointsPerPercent));
        writeCell(page, each.reason);
        page.markup("</tr>\n");
    }
    page.markup("</table><p><a href=\"/move\">Start a move</a></p>\n");
}

void writeUnavailable(html_writer &page, const core::error &failure)
{
    page.markup("<p>Not available: ").text(core::toString(failure)).markup("</p>\n");
}

} // namespace

http_response overviewPage(control_plane &plane)
{
    html_writer page;
    writeStatus(page, plane.status());
    const core::result<shown_document> shown = loadDocument(plane);
    if (const core::error *failure = core::errorIn(shown)) {
        writeUnavailable(page, *failure);
    } else {
        writeServices(page, core::valueIn(shown).parsed);
        writeRoutes(page, core::valueIn(shown).parsed);
    }
    const core::result<std::vector<document::move_state>> moves = plane.moves();
    if (const core::error *failure = core::errorIn(moves)) {
        writeUnavailable(page, *failure);
    } else {
        writeMoves(page, core::valueIn(moves));
    }
    return pageResponse(statusOk, "Overview", page.take());
}

} // namespace jackdawweir::console::internal
