#include "jackdawweir/forwarding/server_pace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace jackdawweir::forwarding {

namespace {

constexpr std::size_t requiredFigures = 3;
constexpr std::size_t maxFigures = 4;

} // namespace

std::optional<stated_load> parseStatedLoad(const std::string &text)
{
    std::array<std::uint32_t, maxFigures> figures{};
    std::size_t count = 0;
    const char *next = text.data();
    const char *const end = next + text.size();
    while (count < maxFigures) {
        const auto [parsedEnd, failure] = std::from_chars(next, end, figures.at(count));
        if (failure != std::errc()) {
            return std::nullopt;
        }
        ++count;
        next = parsedEnd;
        if (next == end || *next != ',') {
            break;
        }
        ++next;
    }
    const bool hasPercent = count == maxFigures;
    if (next != end || count < requiredFigures || (hasPercent && figures.back() == 0)) {
        return std::nullopt;
    }
    stated_load parsed{figures[0], figures[1], figures[2], std::nullopt};
    if (hasPercent) {
        parsed.timePercent = figures.back();
    }
    return parsed;
}

server_pace::server_pace(const server_pace_settings &settings)
    : m_settings(settings)
{
}

void server_pace::record(std::uint32_t timePercent, core::monotonic_time now)
{
    if (!m_latest) {
        m_usual = timePercent;
    }
    m_latest = timePercent;
    m_usual += (*m_latest - m_usual) * m_settings.usualWeight;
    m_recordedAt = now;
}

double server_pace::slowdown(core::monotonic_time now) const
{
    if (!m_latest) {
        return 1;
    }
    const double stated = std::min(*m_latest / m_usual, m_settings.maxSlowdown);
    return decayed(stated, now - m_recordedAt, m_settings.halfLife);
}

double server_pace::decayed(double slowdown,
                            std::chrono::nanoseconds age,
                            std::chrono::milliseconds halfLife)
{
    const double halfLives
        = std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife);
    return 1 + (slowdown - 1) * std::exp2(-std::max(halfLives, 0.0));
}

} // namespace jackdawweir::forwarding
