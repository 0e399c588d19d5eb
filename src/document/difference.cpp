#include "jackdawweir/document/difference.h"

#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "jackdawweir/document/text.h"

namespace jackdawweir::document {

namespace {

std::string describe(const version_share &share)
{
    return absl::StrCat(share.percent, "%");
}

std::string describe(const service &described)
{
    return absl::StrJoin(
        described.versions, ", ", [](std::string *out, const version_share &share) {
            absl::StrAppend(out, share.version.value, " ", describe(share));
        });
}

std::string describe(const route &described)
{
    const route_contract &contract = described.contract;
    return absl::StrCat(described.pathPrefix,
                        " to ",
                        described.service.value,
                        ", ",
                        toString(contract.kind),
                        ", urgency ",
                        toString(contract.urgency),
                        ", weight ",
                        contract.weight,
                        ", deadline ",
                        formatDuration(contract.deadline));
}

std::string describe(const move_request &described)
{
    return absl::StrCat(
        described.from.value, " to ", described.to.value, " by ", formatTime(described.doneBy));
}

// Maps the name of each object to its description.
using described_objects = std::map<std::string, std::string>;

void appendChanges(changed_object object,
                   const described_objects &before,
                   const described_objects &after,
                   document_difference &difference)
{
    for (const auto &[name, text] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            difference.changes.push_back(change{change_kind::Removed, object, name, text, ""});
        } else if (found->second != text) {
            difference.changes.push_back(
                change{change_kind::Changed, object, name, text, found->second});
        }
    }
    for (const auto &[name, text] : after) {
        if (before.count(name) == 0) {
            difference.changes.push_back(change{change_kind::Added, object, name, "", text});
        }
    }
}

template<typename Object, typename Name>
described_objects describeAll(const std::vector<Object> &objects, Name name)
{
    described_objects described;
    for (const Object &each : objects) {
        described[name(each)] = describe(each);
    }
    return described;
}

std::string nameOfService(const service &named)
{
    return named.name.value;
}

std::string nameOfRoute(const route &named)
{
    return named.name.value;
}

std::string nameOfMove(const move_request &named)
{
    return named.service.value;
}

// Returns the shares of those services that `others` also contains.
described_objects sharesOf(const document &owner, const described_objects &others)
{
    described_objects shares;
    for (const service &each : owner.services) {
        if (others.count(each.name.value) == 0) {
            continue;
        }
        for (const version_share &share : each.versions) {
            shares[absl::StrCat(each.name.value, "/", share.version.value)] = describe(share);
        }
    }
    return shares;
}

// Compares services by name only; changes inside a service are reported as changes of its shares.
void compareServices(const document &before, const document &after, document_difference &difference)
{
    const described_objects oldServices = describeAll(before.services, nameOfService);
    const described_objects newServices = describeAll(after.services, nameOfService);
    described_objects newWithOldText = newServices;
    for (auto &[name, text] : newWithOldText) {
        const auto found = oldServices.find(name);
        text = found == oldServices.end() ? text : found->second;
    }
    appendChanges(changed_object::Service, oldServices, newWithOldText, difference);
    appendChanges(changed_object::Share,
                  sharesOf(before, newServices),
                  sharesOf(after, oldServices),
                  difference);
}

char signOf(change_kind kind)
{
    switch (kind) {
    case change_kind::Added:
        return '+';
    case change_kind::Removed:
        return '-';
    case change_kind::Changed:
        break;
    }
    return '~';
}

} // namespace

document_difference differenceOf(const document &before, const document &after)
{
    document_difference difference;
    compareServices(before, after, difference);
    appendChanges(changed_object::Route,
                  describeAll(before.routes, nameOfRoute),
                  describeAll(after.routes, nameOfRoute),
                  difference);
    appendChanges(changed_object::Move,
                  describeAll(before.moves, nameOfMove),
                  describeAll(after.moves, nameOfMove),
                  difference);
    return difference;
}

std::string toText(const document_difference &difference)
{
    std::string text;
    for (const change &each : difference.changes) {
        const char *arrow = each.kind == change_kind::Changed ? " -> " : "";
        const std::string sign(1, signOf(each.kind));
        absl::StrAppend(&text, sign, " ", toString(each.object), " ", each.name, ": ");
        absl::StrAppend(&text, each.before, arrow, each.after, "\n");
    }
    return text;
}

const char *toString(changed_object object)
{
    switch (object) {
    case changed_object::Service:
        return "service";
    case changed_object::Share:
        return "share";
    case changed_object::Route:
        return "route";
    case changed_object::Move:
        return "move";
    }
    return "unknown";
}

const char *toString(change_kind kind)
{
    switch (kind) {
    case change_kind::Added:
        return "added";
    case change_kind::Removed:
        return "removed";
    case change_kind::Changed:
        return "changed";
    }
    return "unknown";
}

} // namespace jackdawweir::document
