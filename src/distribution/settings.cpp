#include "jackdawweir/distribution/settings.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/distribution/effects.h"
#include "jackdawweir/distribution/rendezvous.h"

namespace jackdawweir::distribution {

bool distribution_settings::isRelay() const
{
    return std::find(relays.begin(), relays.end(), ownEndpoint) != relays.end();
}

std::size_t distribution_settings::witnessMajority() const
{
    return relays.size() / 2 + 1;
}

settings_builder &settings_builder::addRelayCandidate(std::string address)
{
    m_candidates.push_back(core::endpoint{std::move(address)});
    return *this;
}

settings_builder &settings_builder::addSource(std::string address)
{
    m_settings.sources.push_back(core::endpoint{std::move(address)});
    return *this;
}

settings_builder &settings_builder::admission(admission_settings admission)
{
    m_settings.admission = admission;
    return *this;
}

core::result<distribution_settings> settings_builder::build() const
{
    const auto missing = [](const char *what) {
        return core::error{core::error_code::InvalidArgument, "build-settings", "", what};
    };
    if (!hasHostSettings()) {
        return missing("own host, data centre, endpoint and incarnation are needed");
    }
    if (m_candidates.empty() || m_settings.sources.empty()) {
        return missing("a relay candidate and a source are needed");
    }
    distribution_settings built = m_settings;
    built.relays = chooseRelays(built.dataCentre, m_candidates);
    return built;
}

const char *toString(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NoVersionFloor:
        return "no majority of witnesses with memory and no confirmed read";
    case refusal_reason::BelowVersionFloor:
        return "no configuration at or above the version floor";
    case refusal_reason::NoWitnessMajority:
        return "no majority of witnesses holds the configuration";
    }
    return "unknown";
}

} // namespace jackdawweir::distribution
