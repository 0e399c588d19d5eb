#include "jackdawweir/membership/settings.h"

#include <utility>

namespace jackdawweir::membership {

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
    if (!hasHostSettings() || m_settings.relays.empty()) {
        return core::error{core::error_code::InvalidArgument,
                           "build-settings",
                           "",
                           "own host, data centre, endpoint, incarnation and a relay are needed"};
    }
    return m_settings;
}

} // namespace jackdawweir::membership
