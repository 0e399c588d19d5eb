// Records when each process was disrupted, and decides by this when a machine was in touch, as the
// rules of the operators define it.
//
//     disruption_log log(sources);
//     log.begin(ip, disruption::Down);
//     log.end(ip);
//     const bool counts = log.isInTouch(node, {sentAt, answeredAt});

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jackdawweir::platform_soak {

using soak_time = std::chrono::steady_clock::time_point;

struct time_span {
    soak_time from;
    soak_time to;
};

enum class disruption : std::uint8_t {
    Frozen,
    // From the kill or SIGTERM of a process to the start of the next one.
    Down,
    // The links of the process lose packets or have gone silent.
    Links,
};

class disruption_log
{
public:
    explicit disruption_log(std::vector<std::string> sources);

    void begin(const std::string &ip, disruption kind);
    // Ends the disruption that has begun last among those that last.
    void end(const std::string &ip);

    // Returns true where the machine was not disrupted from `livenessS` before the span to its end.
    bool isUndisturbed(const std::string &ip, time_span span) const;
    // Returns true where more than half of the core ran and nothing befell it from `livenessS`
    // before the span to its end.
    bool isCoreStable(time_span span) const;
    // Returns true where the same majority of the core ran undisrupted for the whole span.
    bool didMajorityRun(time_span span) const;
    // Returns the number of the process that ran for the whole span; none where it ended meanwhile.
    std::optional<std::size_t> incarnation(const std::string &ip, time_span span) const;

private:
    struct interval {
        disruption kind = disruption::Down;
        soak_time from;
        // The far future while the disruption lasts.
        soak_time to;
    };

    bool isDisrupted(const std::string &ip, time_span span) const;
    bool hasEvent(const std::string &ip, time_span span) const;

    std::vector<std::string> m_sources;
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<interval>> m_intervals;
};

} // namespace jackdawweir::platform_soak
