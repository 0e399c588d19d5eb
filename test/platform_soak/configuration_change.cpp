#include "platform_soak/configuration_change.h"

#include <algorithm>

namespace jackdawweir::platform_soak {

namespace {

constexpr const char *namedTimeout = R"("timeoutS":2,)";

std::string routeText(const std::string &name,
                      const std::string &prefix,
                      const std::string &type,
                      const std::string &target,
                      const std::string &timeout = namedTimeout)
{
    return R"({"resourceKind":"routes","metadata":{"name":")" + name
        + R"("},"spec":{"host":"shop.example","pathPrefix":")" + prefix + R"(","type":")" + type
        + R"(",)" + timeout + R"("targetLatencyS":0.3,"priority":1,)" + target
        + R"(,"maxAttempts":2}},)";
}

std::string toService(const std::string &service)
{
    return R"("service":")" + service + "\"";
}

std::string toParts(const std::string &firstWeight, const std::string &secondWeight)
{
    return R"("trafficSplit":[{"service":"stock","weight":)" + firstWeight
        + R"(},{"service":"desk","weight":)" + secondWeight + "}]";
}

// Returns the text of a configuration. The name of its first route holds the id, so no two texts
// are alike.
std::string textOf(const configuration_change &change, const std::string &extraRoute)
{
    const std::string first = toService(firstRouteService(change.version));
    std::string text = R"({"version":"r)" + std::to_string(change.version) + R"(","resources":[)"
        + routeText("lookup-" + std::to_string(change.id), "/stock/", "safe", first)
        + routeText("order", "/order/", "unsafe", first);
    for (const auto &[prefix, service] : change.routes) {
        text += routeText(
            "probe" + prefix.substr(0, prefix.size() - 1), prefix, "safe", toService(service));
    }
    return text + extraRoute
        + R"({"resourceKind":"services","metadata":{"name":"stock"},"spec":{"healthPath":"/health",)"
          R"("maxConnections":100,"protocol":"h1","tls":false}},)"
          R"({"resourceKind":"services","metadata":{"name":"desk"},"spec":{"healthPath":"/health",)"
          R"("maxConnections":100,"protocol":"h1","tls":false}}]})";
}

// Returns the text of the route that carries the defect, or a sound route where the defect lies
// elsewhere.
std::string defectiveRoute(const std::string &prefix, defect fault)
{
    const std::string name = "invalid" + prefix;
    const std::string sound = toService("stock");
    switch (fault) {
    case defect::UnknownService:
        return routeText(name, prefix, "safe", toService("nowhere"));
    case defect::ZeroWeights:
        return routeText(name, prefix, "safe", toParts("0", "0"));
    case defect::NegativeWeight:
        return routeText(name, prefix, "safe", toParts("2", "-1"));
    case defect::PrefixWithoutSlash:
        return routeText(name, prefix.substr(1), "safe", sound);
    case defect::UnknownType:
        return routeText(name, prefix, "sound", sound);
    case defect::MissingTimeout:
        return routeText(name, prefix, "safe", sound, "");
    case defect::ZeroTimeout:
        return routeText(name, prefix, "safe", sound, R"("timeoutS":0,)");
    case defect::DuplicateRoute:
        return routeText(name, prefix, "safe", sound)
            + routeText(name + "second", prefix, "safe", toService("desk"));
    default:
        return routeText(name, prefix, "safe", sound);
    }
}

} // namespace

std::string ownPrefix(std::size_t id)
{
    return "/c" + std::to_string(id) + "/";
}

std::string firstRouteService(std::uint64_t version)
{
    return version % 3 == 0 ? "desk" : "stock";
}

std::string nameOf(defect fault)
{
    constexpr std::array names{"none",
                               "cut-short",
                               "unknown-service",
                               "zero-weights",
                               "negative-weight",
                               "prefix-without-slash",
                               "unknown-type",
                               "missing-timeout",
                               "zero-timeout",
                               "old-version",
                               "same-version",
                               "other-base",
                               "duplicate-route"};
    return names.at(static_cast<std::size_t>(fault));
}

configuration_change makeChange(std::size_t id,
                                const configuration_change *base,
                                std::uint64_t step,
                                const route_map &routes)
{
    configuration_change made;
    made.id = id;
    if (base != nullptr) {
        made.base = base->id;
        made.baseVersion = base->version;
    }
    made.version = made.baseVersion + step;
    made.routes = routes;
    made.text = textOf(made, "");
    return made;
}

configuration_change
makeInvalidChange(std::size_t id, const configuration_change &base, defect fault)
{
    configuration_change made = makeChange(id, &base, 1, base.routes);
    made.fault = fault;
    if (fault == defect::OldVersion) {
        made.version = base.version - std::min<std::uint64_t>(base.version, 1);
    } else if (fault == defect::SameVersion) {
        made.version = base.version;
    } else if (fault == defect::OtherBase) {
        made.version = base.version + 2;
        made.baseVersion = base.version + 1;
    }
    made.text = textOf(made, defectiveRoute(ownPrefix(id), fault));
    if (fault == defect::CutShort) {
        made.text.resize(made.text.size() / 2);
    }
    return made;
}

} // namespace jackdawweir::platform_soak
