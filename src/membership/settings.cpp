#include "jackdawweir/membership/settings.h"

#include <utility>

namespace jackdawweir::membership {

settings_builder &settings_builder::ownHost(std::string name)
{
    m_settings.ownHost.value = std::move(name);
    return *this;
}

settings_builder &settings_builder::dataCentre(std::string name)
{
    m_settings.dataCentre.value = std::move(name);
    return *this;
}

settings_builder &settings_builder::ownEndpoint(std::string address)
{
    m_settings.ownEndpoint.value = std::move(address);
    return *this;
}

settings_builder &settings_builder::incarnation(std::uint64_t incarnation)
{
    m_settings.incarnation = incarnation;
    return *this;
}

settings_builder &settings_builder::addRelay(std::string address)
{
    m_settings.relays.push_back(core::endpoint{std::move(address)});
    return *this;
}

settings_builder &settings_builder::addRemoteRelay(std::string dataCentre, std::string address)
{
    m_settings.remoteRelays[core::data_centre_name{std::move(dataCentre)}].push_back(
        core::endpoint{std::move(address)});
    return *this;
}

core::result<membership_settings> settings_builder::build() const
{
    const bool isNamed = !m_settings.ownHost.empty() && !m_settings.dataCentre.empty()
        && !m_settings.ownEndpoint.empty();
    if (!isNamed || m_settings.incarnation == 0 || m_settings.relays.empty()) {
        return core::error{core::error_code::InvalidArgument,
                           "build-settings",
                           "",
                           "own host, data centre, endpoint, incarnation and a relay are needed"};
    }
    return m_settings;
}

} // namespace jackdawweir::membership
