#include "jackdawweir/forwarding/server_statement.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>

namespace jackdawweir::forwarding {

namespace {

// A smaller relative change of a limit is not reported, since a server may adjust its limit with
// every response.
constexpr double notableChange = 0.2;

const std::string *findAnyHeader(const http::header_list &headers,
                                 const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        if (const std::string *found = http::findHeader(headers, name)) {
            return found;
        }
    }
    return nullptr;
}

// Returns a finite number above zero, or nothing.
std::optional<double> parseLimit(const std::string &text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, failure] = std::from_chars(text.data(), end, value);
    const bool isNumber = failure == std::errc() && parsedEnd == end;
    return isNumber && std::isfinite(value) && value > 0 ? std::optional(value) : std::nullopt;
}

} // namespace

const char *toString(statement_event event)
{
    switch (event) {
    case statement_event::LimitStated:
        return "limit-stated";
    case statement_event::LimitChanged:
        return "limit-changed";
    case statement_event::LimitEnded:
        return "limit-ended";
    case statement_event::LeaveStated:
        return "leave-stated";
    case statement_event::Malformed:
        return "statement-malformed";
    case statement_event::LimitAdopted:
        return "limit-adopted";
    }
    return "statement-malformed";
}

statement_tracker::statement_tracker(std::chrono::milliseconds startedAt)
{
    m_current.startedAt = startedAt;
}

std::vector<statement_event> statement_tracker::adopt(const server_statement &known)
{
    const double held = m_current.requestsPerSecond;
    const bool isLower = held == 0 || known.requestsPerSecond < held;
    if (m_hasAnswered || known.startedAt != m_current.startedAt || known.requestsPerSecond <= 0
        || !isLower) {
        return {};
    }
    m_current.requestsPerSecond = known.requestsPerSecond;
    m_reportedLimit = known.requestsPerSecond;
    return {statement_event::LimitAdopted};
}

std::vector<statement_event> statement_tracker::apply(const http::header_list &headers,
                                                      const header_names &names,
                                                      bool isOwnAnswer)
{
    m_hasAnswered = m_hasAnswered || isOwnAnswer;
    std::vector<statement_event> events;
    if (const std::string *limit = findAnyHeader(headers, names.serverLimit)) {
        if (const std::optional<double> parsed = parseLimit(*limit)) {
            applyLimit(*parsed, events);
        } else {
            events.push_back(statement_event::Malformed);
        }
    } else if (isOwnAnswer) {
        endLimit(events);
    }
    if (const std::string *leaving = findAnyHeader(headers, names.serverLeaving)) {
        if (*leaving != "1") {
            events.push_back(statement_event::Malformed);
        } else if (!m_current.isLeaving) {
            m_current.isLeaving = true;
            events.push_back(statement_event::LeaveStated);
        }
    }
    return events;
}

void statement_tracker::applyLimit(double requestsPerSecond, std::vector<statement_event> &events)
{
    const bool isFirst = m_current.requestsPerSecond == 0;
    m_current.requestsPerSecond = requestsPerSecond;
    const double change = std::abs(requestsPerSecond - m_reportedLimit);
    if (isFirst || change >= notableChange * std::max(requestsPerSecond, m_reportedLimit)) {
        m_reportedLimit = requestsPerSecond;
        events.push_back(isFirst ? statement_event::LimitStated : statement_event::LimitChanged);
    }
}

void statement_tracker::endLimit(std::vector<statement_event> &events)
{
    if (m_current.requestsPerSecond > 0) {
        m_current.requestsPerSecond = 0;
        m_reportedLimit = 0;
        events.push_back(statement_event::LimitEnded);
    }
}

const server_statement &statement_tracker::current() const
{
    return m_current;
}

} // namespace jackdawweir::forwarding
