#include "jackdawweir/document/parse.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/emitter.h>

#include "document/validation.h"
#include "jackdawweir/document/text.h"
#include "jackdawweir/document/yaml_reader.h"

namespace jackdawweir::document {

namespace {

constexpr yaml_bounds documentBounds{maxDocumentBytes, maxDocumentDepth, maxDocumentNodes};

version_share readShare(const yaml_field &field)
{
    field.expectMapping({"name", "share"}, {});
    return version_share{core::version_name{field.at("name").text()},
                         field.at("share").number(0, internal::wholeSharePercent)};
}

service readService(const yaml_field &field)
{
    field.expectMapping({"name", "versions"}, {});
    service parsed;
    parsed.name.value = field.at("name").text();
    for (const yaml_field &item : field.at("versions").items()) {
        parsed.versions.push_back(readShare(item));
    }
    return parsed;
}

request_kind readKind(const yaml_field &field)
{
    const std::optional<request_kind> kind = parseRequestKind(field.text());
    if (!kind.has_value()) {
        field.fail("expected idempotent or non-idempotent");
    }
    return kind.value_or(request_kind::NonIdempotent);
}

request_urgency readUrgency(const yaml_field &field)
{
    const std::optional<request_urgency> urgency = parseRequestUrgency(field.text());
    if (!urgency.has_value()) {
        field.fail("expected high, normal or low");
    }
    return urgency.value_or(request_urgency::Normal);
}

route readRoute(const yaml_field &field)
{
    field.expectMapping({"name", "path", "service", "kind", "urgency", "weight", "deadline"}, {});
    route parsed;
    parsed.name.value = field.at("name").text();
    parsed.pathPrefix = field.at("path").text();
    parsed.service.value = field.at("service").text();
    parsed.contract.kind = readKind(field.at("kind"));
    parsed.contract.urgency = readUrgency(field.at("urgency"));
    parsed.contract.weight = field.at("weight").number(1, internal::maxWeight);
    parsed.contract.deadline
        = field.at("deadline").duration(internal::minDeadline, internal::maxDeadline);
    return parsed;
}

move_request readMove(const yaml_field &field)
{
    field.expectMapping({"service", "from", "to", "done-by"}, {});
    move_request parsed;
    parsed.service.value = field.at("service").text();
    parsed.from.value = field.at("from").text();
    parsed.to.value = field.at("to").text();
    parsed.doneBy = field.at("done-by").time();
    return parsed;
}

document readDocument(const yaml_field &top)
{
    top.expectMapping({"services", "routes"}, {"moves"});
    document parsed;
    for (const yaml_field &item : top.at("services").items()) {
        parsed.services.push_back(readService(item));
    }
    for (const yaml_field &item : top.at("routes").items()) {
        parsed.routes.push_back(readRoute(item));
    }
    if (top.has("moves")) {
        for (const yaml_field &item : top.at("moves").items()) {
            parsed.moves.push_back(readMove(item));
        }
    }
    return parsed;
}

void writeService(YAML::Emitter &out, const service &written)
{
    out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << written.name.value;
    out << YAML::Key << "versions" << YAML::Value << YAML::BeginSeq;
    for (const version_share &share : written.versions) {
        out << YAML::Flow << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << share.version.value;
        out << YAML::Key << "share" << YAML::Value << share.percent;
        out << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
}

void writeRoute(YAML::Emitter &out, const route &written)
{
    const route_contract &contract = written.contract;
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << written.name.value;
    out << YAML::Key << "path" << YAML::Value << written.pathPrefix;
    out << YAML::Key << "service" << YAML::Value << written.service.value;
    out << YAML::Key << "kind" << YAML::Value << toString(contract.kind);
    out << YAML::Key << "urgency" << YAML::Value << toString(contract.urgency);
    out << YAML::Key << "weight" << YAML::Value << contract.weight;
    out << YAML::Key << "deadline" << YAML::Value << formatDuration(contract.deadline);
    out << YAML::EndMap;
}

void writeMove(YAML::Emitter &out, const move_request &written)
{
    out << YAML::BeginMap;
    out << YAML::Key << "service" << YAML::Value << written.service.value;
    out << YAML::Key << "from" << YAML::Value << written.from.value;
    out << YAML::Key << "to" << YAML::Value << written.to.value;
    out << YAML::Key << "done-by" << YAML::Value << formatTime(written.doneBy);
    out << YAML::EndMap;
}

template<typename Item, typename Write>
void writeList(YAML::Emitter &out, const char *key, const std::vector<Item> &items, Write write)
{
    out << YAML::Key << key << YAML::Value;
    if (items.empty()) {
        out << YAML::Flow;
    }
    out << YAML::BeginSeq;
    for (const Item &item : items) {
        write(out, item);
    }
    out << YAML::EndSeq;
}

} // namespace

core::result<document> parseDocument(std::string_view yaml, const std::string &fileName)
{
    yaml_reader reader("read-document", fileName);
    document parsed = readDocument(reader.open(yaml, documentBounds));
    if (reader.failure() == nullptr) {
        if (const std::optional<field_fault> fault = internal::findFault(parsed)) {
            reader.fail(*fault);
        }
    }
    if (const core::error *failure = reader.failure()) {
        return *failure;
    }
    return parsed;
}

core::status
checkCompletionTimes(const document &submitted, const document &current, core::wall_time now)
{
    for (std::size_t index = 0; index < submitted.moves.size(); ++index) {
        const move_request &move = submitted.moves[index];
        const bool alreadyAccepted
            = std::find(current.moves.begin(), current.moves.end(), move) != current.moves.end();
        if (!alreadyAccepted && move.doneBy <= now) {
            return core::error{core::error_code::InvalidArgument,
                               "check-completion-times",
                               "",
                               absl::StrCat("moves[",
                                            index,
                                            "].done-by: ",
                                            formatTime(move.doneBy),
                                            " is not after the current time ",
                                            formatTime(now))};
        }
    }
    return core::okStatus();
}

std::string toYaml(const document &written)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    writeList(out, "services", written.services, writeService);
    writeList(out, "routes", written.routes, writeRoute);
    writeList(out, "moves", written.moves, writeMove);
    out << YAML::EndMap;
    return absl::StrCat(out.c_str(), "\n");
}

} // namespace jackdawweir::document
