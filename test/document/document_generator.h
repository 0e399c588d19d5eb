// Generates valid documents for property tests.

#pragma once

#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "jackdawweir/document/model.h"

namespace jackdawweir::document::test {

// Generates a name; some of the names would be read by YAML as another type if they were not
// quoted.
inline rc::Gen<std::string> anyName()
{
    const auto firstCharacter = rc::gen::elementOf(std::string("abyzANTZ019"));
    const auto rest = rc::gen::container<std::string>(rc::gen::elementOf(std::string("az09._-")));
    const auto arbitraryName
        = rc::gen::map(rc::gen::pair(firstCharacter, rest), [](const auto &parts) {
              constexpr std::size_t maxLength = 63;
              return (parts.first + parts.second).substr(0, maxLength);
          });
    return rc::gen::oneOf(arbitraryName,
                          rc::gen::element<std::string>("null", "true", "1", "0x1f", "y", "1e3"));
}

// The number of names is limited because a document nests lists of names, so its size would grow
// with the cube of the generator size.
inline std::vector<std::string> anyNames()
{
    constexpr int maxNames = 6;
    const auto names
        = *rc::gen::resize(maxNames, rc::gen::container<std::set<std::string>>(anyName()));
    return {names.begin(), names.end()};
}

inline service anyService(const std::string &name)
{
    service generated{core::service_name{name}, {}};
    std::uint32_t remainingPercent = 100;
    for (const std::string &version : anyNames()) {
        const std::uint32_t percent = *rc::gen::inRange<std::uint32_t>(0, remainingPercent + 1);
        generated.versions.push_back(version_share{core::version_name{version}, percent});
        remainingPercent -= percent;
    }
    if (generated.versions.empty()) {
        generated.versions.push_back(version_share{core::version_name{"v1"}, 0});
    }
    generated.versions.front().percent += remainingPercent;
    return generated;
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
        document generated;
        for (const std::string &name : anyNames()) {
            generated.services.push_back(anyService(name));
            const service &owner = generated.services.back();
            if (owner.versions.size() > 1 && *rc::gen::arbitrary<bool>()) {
                const auto offset = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
                generated.moves.push_back(
                    move_request{owner.name,
                                 owner.versions.front().version,
                                 owner.versions.back().version,
                                 core::wall_time(std::chrono::seconds(secondsIn2026)
                                                 + std::chrono::nanoseconds(offset))});
            }
        }
        if (!generated.services.empty()) {
            for (const std::string &name : anyNames()) {
                generated.routes.push_back(anyRoute(name, generated));
            }
        }
        return generated;
    });
}

} // namespace jackdawweir::document::test
