// A fake control plane: the test sets its answers and reads the calls that it recorded.

#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::test {

class fake_control_plane final : public console::control_plane
{
public:
    console::submission_outcome submit(const console::submission &submitted) override
    {
        const std::lock_guard guard(mutex);
        submissions.push_back(submitted);
        if (onSubmit) {
            return onSubmit(submitted);
        }
        current = console::current_document{
            core::config_version{1, current.version.number + 1, core::digestOf(submitted.yaml)},
            submitted.yaml};
        return console::submission_accepted{current.version};
    }

    core::result<console::current_document> currentDocument() override
    {
        const std::lock_guard guard(mutex);
        return current;
    }

    core::result<std::vector<console::history_entry>> history() override
    {
        return historyEntries;
    }

    core::result<std::vector<document::move_state>> moves() override
    {
        return moveStates;
    }

    console::process_status status() override
    {
        return reportedStatus;
    }

    std::string timelineLines() override
    {
        return timeline;
    }

    core::status drain() override
    {
        drained = true;
        return core::okStatus();
    }

    core::status init() override
    {
        return initOutcome;
    }

    core::status announce(const membership::backend_server &announced) override
    {
        announcements.push_back(announced);
        return core::okStatus();
    }

    core::status withdraw(const core::endpoint &address, std::uint64_t incarnation) override
    {
        withdrawals.push_back(address.value + " " + std::to_string(incarnation));
        return core::okStatus();
    }

    std::string metricsText() override
    {
        return "jackdawweir_version_number 1\n";
    }

    core::wall_time now() const override
    {
        return core::wall_time(std::chrono::sys_days(std::chrono::year(2026) / 12 / 4));
    }

    std::mutex mutex;
    std::function<console::submission_outcome(const console::submission &)> onSubmit;
    std::vector<console::submission> submissions;
    console::current_document current;
    std::vector<console::history_entry> historyEntries;
    std::vector<document::move_state> moveStates;
    console::process_status reportedStatus;
    std::string timeline;
    bool drained = false;
    core::status initOutcome;
    std::vector<membership::backend_server> announcements;
    std::vector<std::string> withdrawals;
};

} // namespace jackdawweir::test
