#include "console/form.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <microhttpd.h>

#include "jackdawweir/core/address.h"
#include "jackdawweir/document/text.h"
#include "jackdawweir/document/yaml_reader.h"

namespace jackdawweir::console::internal {

namespace {

using document::quoteForMessage;

// Every node holds the records of all servers.
constexpr std::size_t maxAnnouncedNameBytes = 256;
constexpr std::uint32_t maxAnnouncedSlots = 1'000'000;

core::error formError(const std::string &field, const std::string &message)
{
    return core::error{
        core::error_code::InvalidArgument, "read-form", "", absl::StrCat(field, ": ", message)};
}

std::string decode(const std::string &encoded)
{
    std::string text = absl::StrReplaceAll(encoded, {{"+", " "}});
    text.resize(MHD_http_unescape(text.data()));
    return text;
}

core::result<std::uint32_t> readNumber(const form_fields &form, const std::string &name)
{
    std::uint32_t value = 0;
    if (!absl::SimpleAtoi(form.get(name), &value)) {
        return formError(
            name, absl::StrCat("expected a whole number, got ", quoteForMessage(form.get(name))));
    }
    return value;
}

// Replaces the first item that matches, or adds the item if there is none.
template<typename Item, typename Predicate>
void replaceOrAddItem(std::vector<Item> &items, Item item, Predicate matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    if (found == items.end()) {
        items.push_back(std::move(item));
    } else {
        *found = std::move(item);
    }
}

template<typename Item, typename Predicate>
core::status removeItem(std::vector<Item> &items, const std::string &name, Predicate matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    if (found == items.end()) {
        return formError("name", absl::StrCat("no ", quoteForMessage(name), " to remove"));
    }
    items.erase(found);
    return core::okStatus();
}

core::status setService(document::document &edited, const form_fields &form)
{
    document::service parsed{core::service_name{form.get("name")}, {}};
    for (std::size_t row = 0; row < maxFormVersions; ++row) {
        const std::string version = form.get(absl::StrCat("version.", row));
        if (version.empty()) {
            continue;
        }
        const core::result<std::uint32_t> share = readNumber(form, absl::StrCat("share.", row));
        if (const core::error *failure = core::errorIn(share)) {
            return *failure;
        }
        parsed.versions.push_back({core::version_name{version}, core::valueIn(share)});
    }
    const core::service_name name = parsed.name;
    replaceOrAddItem(edited.services, std::move(parsed), [&name](const document::service &each) {
        return each.name == name;
    });
    return core::okStatus();
}

core::status setRoute(document::document &edited, const form_fields &form)
{
    const auto kind = document::parseRequestKind(form.get("kind"));
    if (!kind.has_value()) {
        return formError("kind", "expected idempotent or non-idempotent");
    }
    const auto urgency = document::parseRequestUrgency(form.get("urgency"));
    if (!urgency.has_value()) {
        return formError("urgency", "expected high, normal or low");
    }
    const core::result<std::uint32_t> weight = readNumber(form, "weight");
    if (const core::error *failure = core::errorIn(weight)) {
        return *failure;
    }
    const auto deadline = document::parseDuration(form.get("deadline"));
    if (!deadline.has_value()) {
        return formError("deadline", "expected a duration with unit, for example 800ms");
    }
    const std::string name = form.get("name");
    replaceOrAddItem(edited.routes,
                     document::route_builder(name)
                         .pathPrefix(form.get("path"))
                         .service(form.get("service"))
                         .kind(*kind)
                         .urgency(*urgency)
                         .weight(core::valueIn(weight))
                         .deadline(*deadline)
                         .build(),
                     [&name](const document::route &each) { return each.name.value == name; });
    return core::okStatus();
}

core::status setMove(document::document &edited, const form_fields &form)
{
    const auto doneBy = document::parseTime(form.get("done-by"));
    if (!doneBy.has_value()) {
        return formError("done-by",
                         "expected an RFC 3339 time in UTC, for example 2026-12-04T06:00:00Z");
    }
    const std::string service = form.get("service");
    replaceOrAddItem(
        edited.moves,
        document::move_request{core::service_name{service},
                               core::version_name{form.get("from")},
                               core::version_name{form.get("to")},
                               *doneBy},
        [&service](const document::move_request &each) { return each.service.value == service; });
    return core::okStatus();
}

core::status applyAction(document::document &edited, const form_fields &form)
{
    const std::string action = form.get("action");
    const std::string name = form.get("name");
    if (action == actionSetService) {
        return setService(edited, form);
    }
    if (action == actionSetRoute) {
        return setRoute(edited, form);
    }
    if (action == actionSetMove) {
        return setMove(edited, form);
    }
    if (action == actionRemoveService) {
        return removeItem(edited.services, name, [&name](const document::service &each) {
            return each.name.value == name;
        });
    }
    if (action == actionRemoveRoute) {
        return removeItem(edited.routes, name, [&name](const document::route &each) {
            return each.name.value == name;
        });
    }
    if (action == actionRemoveMove) {
        return removeItem(edited.moves, name, [&name](const document::move_request &each) {
            return each.service.value == name;
        });
    }
    return formError("action", absl::StrCat("unknown action ", quoteForMessage(action)));
}

std::optional<membership::server_state> parseServerState(const std::string &name)
{
    if (name == "starting") {
        return membership::server_state::Starting;
    }
    if (name == "ready") {
        return membership::server_state::Ready;
    }
    if (name == "draining") {
        return membership::server_state::Draining;
    }
    return std::nullopt;
}

} // namespace

form_fields::form_fields(std::string_view body)
{
    const std::vector<std::string> pairs
        = absl::StrSplit(absl::string_view(body.data(), body.size()), '&', absl::SkipEmpty());
    for (const std::string &pair : pairs) {
        const std::pair<std::string, std::string> parts
            = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        m_fields[decode(parts.first)] = decode(parts.second);
    }
}

std::string form_fields::get(const std::string &name) const
{
    const auto found = m_fields.find(name);
    if (found == m_fields.end()) {
        return {};
    }
    return std::string(absl::StripAsciiWhitespace(found->second));
}

core::result<document::document> applyEdit(document::document edited, const form_fields &form)
{
    const core::status applied = applyAction(edited, form);
    if (const core::error *failure = core::errorIn(applied)) {
        return *failure;
    }
    return edited;
}

core::result<std::uint64_t> readIncarnation(const form_fields &form)
{
    std::uint64_t incarnation = 0;
    if (!absl::SimpleAtoi(form.get("incarnation"), &incarnation)) {
        return formError("incarnation", "expected a whole number");
    }
    return incarnation;
}

// Returns a violation of an announcement that no node could use, or nothing.
std::optional<core::error> findViolation(const membership::backend_server &announced)
{
    if (!core::isAddressAndPort(announced.address.value)) {
        return formError("address", "expected ADDRESS:PORT");
    }
    for (const std::string *name : {&announced.service.value, &announced.version.value}) {
        if (name->empty() || name->size() > maxAnnouncedNameBytes) {
            return formError("announcement",
                             absl::StrCat("expected a service and a version of 1 to ",
                                          maxAnnouncedNameBytes,
                                          " bytes"));
        }
    }
    if (announced.slots > maxAnnouncedSlots || announced.connections > maxAnnouncedSlots) {
        return formError(
            "announcement",
            absl::StrCat("expected at most ", maxAnnouncedSlots, " slots and connections"));
    }
    return std::nullopt;
}

core::result<membership::backend_server> readAnnouncement(const form_fields &form)
{
    membership::backend_server parsed;
    parsed.address.value = form.get("address");
    parsed.service.value = form.get("service");
    parsed.version.value = form.get("version");
    const core::result<std::uint64_t> incarnation = readIncarnation(form);
    if (const core::error *failure = core::errorIn(incarnation)) {
        return *failure;
    }
    parsed.incarnation = core::valueIn(incarnation);
    for (const auto &[name, value] :
         {std::pair{"slots", &parsed.slots}, std::pair{"connections", &parsed.connections}}) {
        const core::result<std::uint32_t> number = readNumber(form, name);
        if (const core::error *failure = core::errorIn(number)) {
            return *failure;
        }
        *value = core::valueIn(number);
    }
    const auto state = parseServerState(form.get("state"));
    if (!state.has_value()) {
        return formError("state", "expected starting, ready or draining");
    }
    parsed.state = *state;
    if (const std::optional<core::error> violation = findViolation(parsed)) {
        return *violation;
    }
    return parsed;
}

} // namespace jackdawweir::console::internal
