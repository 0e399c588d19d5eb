#include "jackdawweir/policy/policy_state.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace jackdawweir::policy {

namespace {

core::digest digestOf(const replace_policy &change)
{
    return core::digestOf(absl::StrCat(change.base, "\n", change.policy.original));
}

bool isDataCentreName(const core::data_centre_name &name)
{
    return !name.empty() && name.value.size() <= policy_state::maxDataCentreNameBytes;
}

} // namespace

const char *toString(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::Running:
        return "running";
    case rollout_phase::Completed:
        return "completed";
    case rollout_phase::RolledBack:
        return "rolled-back";
    }
    return "unknown";
}

command_result policy_state::apply(const command &committed, std::uint64_t index)
{
    return std::visit([&](const auto &body) { return applyCommand(body, index); }, committed);
}

core::result<command_result> policy_state::applyEncoded(std::string_view payload,
                                                        std::uint64_t index)
{
    const core::result<command> decoded = wire::decode<command>(payload, core::endpoint{});
    if (const core::error *failure = core::errorIn(decoded)) {
        return *failure;
    }
    return apply(core::valueIn(decoded), index);
}

std::optional<command_result> policy_state::findAccepted(const replace_policy &change) const
{
    const core::digest changeDigest = digestOf(change);
    const std::vector<core::digest> &acceptedDigests = m_state.accepted;
    if (std::find(acceptedDigests.begin(), acceptedDigests.end(), changeDigest)
        == acceptedDigests.end()) {
        return std::nullopt;
    }
    return accepted();
}

command_result policy_state::applyCommand(const replace_policy &change, std::uint64_t index)
{
    if (const std::optional<command_result> first = findAccepted(change)) {
        return *first;
    }
    const std::uint64_t current = m_state.view.policy.number;
    if (change.base != current) {
        return conflict(absl::StrCat("the current version is ", current));
    }
    std::vector<std::string> violations = findViolations(change.policy);
    if (change.policy.number <= current) {
        violations.push_back(absl::StrCat("the version is not above ", current));
    }
    if (!violations.empty()) {
        return {command_outcome::Refused, current, violations.front()};
    }
    m_state.view.policy = change.policy;
    m_state.view.revision = index;
    m_state.accepted.push_back(digestOf(change));
    return accepted();
}

command_result policy_state::applyCommand(const begin_rollout &request, std::uint64_t index)
{
    if (request.target.empty() || request.duration.count() <= 0) {
        return refused("a rollout needs a version and a duration above zero");
    }
    rollout *last = rolloutOf(request.service);
    if (last != nullptr && last->target == request.target) {
        const auto age = request.at - last->orderedAt;
        const bool isRepeat = last->phase != rollout_phase::RolledBack || age < repeatWindow;
        if (isRepeat) {
            return accepted();
        }
    }
    if (last != nullptr && last->phase == rollout_phase::Running) {
        return conflict(absl::StrCat("a rollout to ", last->target.value, " is running"));
    }
    const auto established = m_state.view.versions.find(request.service);
    rollout begun;
    begun.id = index;
    begun.service = request.service;
    begun.target = request.target;
    if (established != m_state.view.versions.end()) {
        begun.previous = established->second;
    }
    begun.duration = request.duration;
    begun.orderedAt = request.at;
    begun.reason = "ordered";
    if (last != nullptr) {
        *last = std::move(begun);
    } else {
        m_state.view.rollouts.push_back(std::move(begun));
    }
    m_state.view.revision = index;
    return accepted();
}

command_result policy_state::applyCommand(const advance_rollout &decision, std::uint64_t index)
{
    rollout *running = rolloutOf(decision.service);
    if (running == nullptr || running->id != decision.id
        || running->phase != rollout_phase::Running) {
        return conflict("the rollout is not running");
    }
    running->phase = decision.phase;
    running->share = decision.share;
    running->reason = decision.reason;
    if (decision.phase == rollout_phase::Completed) {
        m_state.view.versions[decision.service] = running->target;
    }
    m_state.view.revision = index;
    return accepted();
}

command_result policy_state::applyCommand(const establish_version &observed, std::uint64_t index)
{
    const bool isNew = m_state.view.versions.emplace(observed.service, observed.version).second;
    if (!isNew) {
        return conflict("the service has a version");
    }
    m_state.view.revision = index;
    return accepted();
}

command_result policy_state::applyCommand(const begin_evacuation &request, std::uint64_t index)
{
    if (!isDataCentreName(request.dataCentre)) {
        return refused("the name of the data centre is empty or too long");
    }
    if (m_state.view.evacuated.insert(request.dataCentre).second) {
        m_state.view.revision = index;
    }
    return accepted();
}

command_result policy_state::applyCommand(const end_evacuation &request, std::uint64_t index)
{
    if (!isDataCentreName(request.dataCentre)) {
        return refused("the name of the data centre is empty or too long");
    }
    if (m_state.view.evacuated.erase(request.dataCentre) > 0) {
        m_state.view.evacuationEnds[request.dataCentre] = index;
        m_state.view.revision = index;
    }
    return accepted();
}

command_result policy_state::accepted() const
{
    return {command_outcome::Accepted, m_state.view.policy.number, ""};
}

command_result policy_state::conflict(std::string reason) const
{
    return {command_outcome::Conflict, m_state.view.policy.number, std::move(reason)};
}

command_result policy_state::refused(std::string reason) const
{
    return {command_outcome::Refused, m_state.view.policy.number, std::move(reason)};
}

const policy_view &policy_state::view() const
{
    return m_state.view;
}

const rollout *findRollout(const policy_view &view, const core::service_name &service)
{
    const std::vector<rollout> &all = view.rollouts;
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const rollout &each) { return each.service == service; });
    return found == all.end() ? nullptr : &*found;
}

const rollout *policy_state::findRollout(const core::service_name &service) const
{
    return policy::findRollout(m_state.view, service);
}

rollout *policy_state::rolloutOf(const core::service_name &service)
{
    return const_cast<rollout *>(findRollout(service));
}

std::string policy_state::encode() const
{
    return wire::encodeValue(m_state);
}

core::status policy_state::restore(std::string_view bytes)
{
    core::result<state> decoded = wire::decodeValue<state>(bytes);
    if (const core::error *failure = core::errorIn(decoded)) {
        return *failure;
    }
    m_state = core::valueIn(std::move(decoded));
    return core::okStatus();
}

} // namespace jackdawweir::policy
