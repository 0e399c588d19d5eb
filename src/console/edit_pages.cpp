#include "console/edit_pages.h"

#include <algorithm>
#include <initializer_list>

#include <absl/strings/str_cat.h>

#include "console/form.h"
#include "jackdawweir/document/text.h"

namespace jackdawweir::console::internal {

namespace {

// The number of empty rows for new versions in the form of a service.
constexpr std::size_t emptyRows = 2;

void openForm(html_writer &page, const shown_document &shown, const char *action)
{
    page.markup("<form method=\"post\" action=\"/preview\">\n");
    page.hidden("action", action);
    page.hidden("expect", core::toString(shown.version));
}

void closeForm(html_writer &page, const char *button)
{
    page.markup("<p><button>").text(button).markup("</button></p>\n</form>\n");
}

void writeRemoveForm(html_writer &page,
                     const shown_document &shown,
                     const char *action,
                     const std::string &name)
{
    openForm(page, shown, action);
    page.hidden("name", name);
    closeForm(page, "Preview removal");
}

void writeSelect(html_writer &page,
                 const char *label,
                 const char *name,
                 std::initializer_list<const char *> values,
                 const std::string &selected)
{
    page.markup("<p><label>").text(label).markup(" <select name=\"").text(name).markup("\">");
    for (const char *value : values) {
        page.markup("<option");
        if (selected == value) {
            page.markup(" selected");
        }
        page.markup(">").text(value).markup("</option>");
    }
    page.markup("</select></label></p>\n");
}

void writeShareRow(html_writer &page,
                   std::size_t row,
                   const std::string &version,
                   const std::string &share)
{
    page.markup("<tr><td><input aria-label=\"version\" name=\"")
        .text(absl::StrCat("version.", row))
        .markup("\" value=\"")
        .text(version)
        .markup("\"></td><td><input aria-label=\"share in percent\" name=\"")
        .text(absl::StrCat("share.", row))
        .markup("\" value=\"")
        .text(share)
        .markup("\"></td></tr>\n");
}

template<typename Item, typename Predicate>
const Item *findItem(const std::vector<Item> &items, Predicate matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

http_response servicePage(const shown_document &shown, const std::string &name)
{
    const auto *existing = findItem(shown.parsed.services, [&name](const document::service &each) {
        return each.name.value == name;
    });
    html_writer page;
    openForm(page, shown, actionSetService);
    page.input("Name", "text", "name", name);
    page.markup("<table><tr><th>Version</th><th>Share in percent</th></tr>\n");
    std::size_t row = 0;
    if (existing != nullptr) {
        for (const document::version_share &share : existing->versions) {
            writeShareRow(page, row++, share.version.value, absl::StrCat(share.percent));
        }
    }
    for (std::size_t added = 0; added < emptyRows; ++added) {
        writeShareRow(page, row++, "", "");
    }
    page.markup("</table><p>The shares sum to 100. Empty a row to remove its version.</p>\n");
    closeForm(page, "Preview");
    if (existing != nullptr) {
        writeRemoveForm(page, shown, actionRemoveService, name);
    }
    return pageResponse(statusOk, "Service", page.take());
}

http_response routePage(const shown_document &shown, const std::string &name)
{
    const auto *existing = findItem(shown.parsed.routes, [&name](const document::route &each) {
        return each.name.value == name;
    });
    const document::route values = existing == nullptr ? document::route{} : *existing;
    html_writer page;
    openForm(page, shown, actionSetRoute);
    page.input("Name", "text", "name", name);
    page.input("Path prefix", "text", "path", values.pathPrefix);
    page.input("Service", "text", "service", values.service.value);
    writeSelect(page,
                "Kind",
                "kind",
                {"non-idempotent", "idempotent"},
                document::toString(values.contract.kind));
    writeSelect(page,
                "Urgency",
                "urgency",
                {"high", "normal", "low"},
                document::toString(values.contract.urgency));
    page.input("Weight", "text", "weight", absl::StrCat(values.contract.weight));
    page.input("Deadline", "text", "deadline", document::formatDuration(values.contract.deadline));
    closeForm(page, "Preview");
    if (existing != nullptr) {
        writeRemoveForm(page, shown, actionRemoveRoute, name);
    }
    return pageResponse(statusOk, "Route", page.take());
}

http_response movePage(const shown_document &shown, const std::string &name)
{
    const auto *existing
        = findItem(shown.parsed.moves, [&name](const document::move_request &each) {
              return each.service.value == name;
          });
    const document::move_request values
        = existing == nullptr ? document::move_request{} : *existing;
    html_writer page;
    openForm(page, shown, actionSetMove);
    page.input("Service", "text", "service", name);
    page.input("From version", "text", "from", values.from.value);
    page.input("To version", "text", "to", values.to.value);
    page.input("Completion time (UTC, for example 2026-12-04T06:00:00Z)",
               "text",
               "done-by",
               existing == nullptr ? std::string() : document::formatTime(values.doneBy));
    closeForm(page, "Preview");
    if (existing != nullptr) {
        writeRemoveForm(page, shown, actionRemoveMove, name);
    }
    return pageResponse(statusOk, "Move", page.take());
}

} // namespace jackdawweir::console::internal
