#include "jackdawweir/document/model.h"

#include <utility>

namespace jackdawweir::document {

route_builder::route_builder(std::string name)
{
    m_route.name.value = std::move(name);
}

route_builder &route_builder::pathPrefix(std::string prefix)
{
    m_route.pathPrefix = std::move(prefix);
    return *this;
}

route_builder &route_builder::service(std::string name)
{
    m_route.service.value = std::move(name);
    return *this;
}

route_builder &route_builder::kind(request_kind kind)
{
    m_route.contract.kind = kind;
    return *this;
}

route_builder &route_builder::urgency(request_urgency urgency)
{
    m_route.contract.urgency = urgency;
    return *this;
}

route_builder &route_builder::weight(std::uint32_t weight)
{
    m_route.contract.weight = weight;
    return *this;
}

route_builder &route_builder::deadline(std::chrono::milliseconds deadline)
{
    m_route.contract.deadline = deadline;
    return *this;
}

route route_builder::build() const
{
    return m_route;
}

document_builder &document_builder::addService(std::string name,
                                               std::vector<version_share> versions)
{
    m_document.services.push_back(
        service{core::service_name{std::move(name)}, std::move(versions)});
    return *this;
}

document_builder &document_builder::addRoute(route added)
{
    m_document.routes.push_back(std::move(added));
    return *this;
}

document_builder &document_builder::addMove(std::string service,
                                            std::string from,
                                            std::string to,
                                            core::wall_time doneBy)
{
    m_document.moves.push_back(move_request{core::service_name{std::move(service)},
                                            core::version_name{std::move(from)},
                                            core::version_name{std::move(to)},
                                            doneBy});
    return *this;
}

document document_builder::build() const
{
    return m_document;
}

const char *toString(request_kind kind)
{
    return kind == request_kind::Idempotent ? "idempotent" : "non-idempotent";
}

const char *toString(request_urgency urgency)
{
    switch (urgency) {
    case request_urgency::Low:
        return "low";
    case request_urgency::Normal:
        return "normal";
    case request_urgency::High:
        return "high";
    }
    return "unknown";
}

std::optional<request_kind> parseRequestKind(const std::string &name)
{
    for (const request_kind kind : {request_kind::Idempotent, request_kind::NonIdempotent}) {
        if (name == toString(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

std::optional<request_urgency> parseRequestUrgency(const std::string &name)
{
    for (const request_urgency urgency :
         {request_urgency::Low, request_urgency::Normal, request_urgency::High}) {
        if (name == toString(urgency)) {
            return urgency;
        }
    }
    return std::nullopt;
}

} // namespace jackdawweir::document
