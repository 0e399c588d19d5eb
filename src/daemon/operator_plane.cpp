#include "daemon/operator_plane.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace jackdawweir::daemon {

namespace {

console::submission_outcome outcomeOf(const source::submission_result &result)
{
    switch (result.outcome) {
    case source::submission_outcome::Accepted:
        return console::submission_accepted{result.version};
    case source::submission_outcome::Conflict:
        return console::submission_conflict{result.version};
    case source::submission_outcome::Refused:
        break;
    }
    return console::submission_refused{
        core::error{core::error_code::InvalidArgument, "submit", "", result.reason}};
}

std::string summaryOf(const source::move_record &record)
{
    const document::move_state &move = record.state;
    return absl::StrCat("move of ",
                        move.request.service.value,
                        " from ",
                        move.request.from.value,
                        " to ",
                        move.request.to.value,
                        ": ",
                        document::toString(move.phase),
                        move.reason.empty() ? "" : ": ",
                        move.reason);
}

} // namespace

operator_plane::operator_plane(process_context &context,
                               node &localNode,
                               source_host *source,
                               std::function<void()> beginDrain)
    : m_context(context)
    , m_node(localNode)
    , m_source(source)
    , m_beginDrain(std::move(beginDrain))
{
}

console::submission_outcome operator_plane::submit(const console::submission &submitted)
{
    submit_request request;
    request.submission = submitted.id;
    request.hasExpected = true;
    request.expected = submitted.expected;
    request.yaml = submitted.yaml;
    const core::result<source::submission_result> decided = m_node.submit(std::move(request));
    if (const core::error *failure = core::errorIn(decided)) {
        return console::submission_unknown{core::toString(*failure)};
    }
    const source::submission_result &result = core::valueIn(decided);
    m_context.record(m_context.event("submission")
                         .step("submit")
                         .version(result.version)
                         .field("submission", submitted.id.value)
                         .field("outcome", source::toString(result.outcome))
                         .build());
    return outcomeOf(result);
}

core::result<console::current_document> operator_plane::currentDocument()
{
    const core::result<state_reply> state = m_node.requestState();
    if (const core::error *failure = core::errorIn(state)) {
        return *failure;
    }
    const state_reply &reply = core::valueIn(state);
    return console::current_document{reply.documentVersion, reply.original};
}

core::result<std::vector<console::history_entry>> operator_plane::history()
{
    const core::result<state_reply> state = m_node.requestState();
    if (const core::error *failure = core::errorIn(state)) {
        return *failure;
    }
    std::vector<console::history_entry> entries;
    for (const source::change_record &each : core::valueIn(state).changes) {
        entries.push_back({each.version, each.at, each.submission, "document accepted"});
    }
    for (const source::move_record &each : core::valueIn(state).moveHistory) {
        entries.push_back({each.version, each.at, {}, summaryOf(each)});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) {
        return left.version < right.version;
    });
    return entries;
}

core::result<std::vector<document::move_state>> operator_plane::moves()
{
    const core::result<state_reply> state = m_node.requestState();
    if (const core::error *failure = core::errorIn(state)) {
        return *failure;
    }
    return core::valueIn(state).moves;
}

console::process_status operator_plane::status()
{
    const node_status nodeStatus = m_node.status();
    console::process_status status;
    status.host = m_context.settings.host;
    status.dataCentre = m_context.settings.dataCentre;
    status.region = m_context.settings.region;
    status.role = nodeStatus.isRelay ? "node+relay" : "node";
    status.inForce = nodeStatus.inForce;
    status.serving = nodeStatus.isServing;
    status.draining = nodeStatus.isDraining;
    status.reason = nodeStatus.refusal;
    status.backendServers = nodeStatus.serverCount;
    if (m_source != nullptr) {
        status.role += "+source";
        status.leader = m_source->status().leads;
    }
    return status;
}

std::string operator_plane::timelineLines()
{
    return m_context.timeline.toJsonLines();
}

core::status operator_plane::drain()
{
    m_beginDrain();
    return core::okStatus();
}

core::status operator_plane::init()
{
    if (m_source == nullptr) {
        return core::error{core::error_code::InvalidArgument,
                           "init",
                           m_context.settings.host.value,
                           "this host runs no source"};
    }
    return m_source->init();
}

core::status operator_plane::announce(const membership::backend_server &announced)
{
    return m_node.announce(announced);
}

core::status operator_plane::withdraw(const core::endpoint &address, std::uint64_t incarnation)
{
    m_node.withdraw(address, incarnation);
    return core::okStatus();
}

std::string operator_plane::metricsText()
{
    return m_context.metrics.toText();
}

core::wall_time operator_plane::now() const
{
    return m_context.clock.wallNow();
}

} // namespace jackdawweir::daemon
