// Draws valid documents for property tests.

#pragma once

#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "jackdawweir/document/model.h"

namespace jackdawweir::document::test {

// Draws a name, some of which YAML would read as another type where they are not quoted.
inline rc::Gen<std::string> anyName()
{
    const auto head = rc::gen::elementOf(std::string("abyzANTZ019"));
    const auto rest = rc::gen::container<std::string>(rc::gen::elementOf(std::string("az09._-")));
    const auto free = rc::gen::map(rc::gen::pair(head, rest), [](const auto &parts) {
        constexpr std::size_t longest = 63;
        return (parts.first + parts.second).substr(0, longest);
    });
    return rc::gen::oneOf(free,
                          rc::gen::element<std::string>("null", "true", "1", "0x1f", "y", "1e3"));
}

// The size is bounded since a document nests lists of names, which would grow with its cube.
inline std::vector<std::string> anyNames()
{
    constexpr int mostNames = 6;
    const auto names
        = *rc::gen::resize(mostNames, rc::gen::container<std::set<std::string>>(anyName()));
    return {names.begin(), names.end()};
}

inline service anyService(const std::string &name)
{
    service drawn{core::service_name{name}, {}};
    std::uint32_t left = 100;
    for (const std::string &version : anyNames()) {
        const std::uint32_t percent = *rc::gen::inRange<std::uint32_t>(0, left + 1);
        drawn.versions.push_back(version_share{core::version_name{version}, percent});
        left -= percent;
    }
    if (drawn.versions.empty()) {
        drawn.versions.push_back(version_share{core::version_name{"v1"}, 0});
    }
    drawn.versions.front().percent += left;
    return drawn;
}

inline route anyRoute(const std::string &name, const document &owner)
{
    return route_builder(name)
        .pathPrefix("/" + name + *rc::gen::element<std::string>("", "/", "/a:b,c*&'", "/~x"))
        .service((*rc::gen::elementOf(owner.services)).name.value)
        .kind(*rc::gen::element(request_kind::Idempotent, request_kind::NonIdempotent))
        .urgency(*rc::gen::element(request_urgency::Low, request_urgency::High))
        .weight(*rc::gen::inRange<std::uint32_t>(1, 1'000'001))
        .deadline(std::chrono::milliseconds(*rc::gen::inRange(1, 3'600'001)))
        .build();
}

inline rc::Gen<document> anyDocument()
{
    return rc::gen::exec([] {
        constexpr std::int64_t secondsIn2026 = 1'767'225'600;
        document drawn;
        for (const std::string &name : anyNames()) {
            drawn.services.push_back(anyService(name));
            const service &owner = drawn.services.back();
            if (owner.versions.size() > 1 && *rc::gen::arbitrary<bool>()) {
                const auto offset = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
                drawn.moves.push_back(
                    move_request{owner.name,
                                 owner.versions.front().version,
                                 owner.versions.back().version,
                                 core::wall_time(std::chrono::seconds(secondsIn2026)
                                                 + std::chrono::nanoseconds(offset))});
            }
        }
        if (!drawn.services.empty()) {
            for (const std::string &name : anyNames()) {
                drawn.routes.push_back(anyRoute(name, drawn));
            }
        }
        return drawn;
    });
}

} // namespace jackdawweir::document::test
