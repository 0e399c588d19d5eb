#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/settings/settings.h"
#include "settings/validation.h"

namespace jackdawweir::settings {

daemon_settings_builder &
daemon_settings_builder::host(std::string name, std::string region, std::string dataCentre)
{
    m_settings.host.value = std::move(name);
    m_settings.region.value = std::move(region);
    m_settings.dataCentre.value = std::move(dataCentre);
    return *this;
}

daemon_settings_builder &daemon_settings_builder::callers(std::string address)
{
    m_settings.callers.value = std::move(address);
    return *this;
}

daemon_settings_builder &daemon_settings_builder::operators(std::string address)
{
    m_settings.operators.value = std::move(address);
    return *this;
}

daemon_settings_builder &daemon_settings_builder::mesh(std::string address)
{
    m_settings.mesh.value = std::move(address);
    return *this;
}

daemon_settings_builder &daemon_settings_builder::addDataCentre(data_centre_settings added)
{
    m_settings.dataCentres.push_back(std::move(added));
    return *this;
}

daemon_settings_builder &daemon_settings_builder::addSource(std::string address)
{
    m_settings.sources.push_back(core::endpoint{std::move(address)});
    return *this;
}

daemon_settings_builder &daemon_settings_builder::source(source_settings source)
{
    m_settings.source = std::move(source);
    return *this;
}

daemon_settings_builder &daemon_settings_builder::operatorTokenFile(std::string path)
{
    m_settings.operatorTokenFile = std::move(path);
    return *this;
}

daemon_settings_builder &daemon_settings_builder::logLevel(observe::log_level level)
{
    m_settings.logLevel = level;
    return *this;
}

daemon_settings_builder &daemon_settings_builder::limits(limit_settings limits)
{
    m_settings.limits = limits;
    return *this;
}

core::result<daemon_settings> daemon_settings_builder::build() const
{
    if (const std::optional<document::field_fault> fault = internal::findFault(m_settings)) {
        return core::error{core::error_code::InvalidArgument,
                           "build-settings",
                           "",
                           absl::StrCat(fault->field, ": ", fault->message)};
    }
    return m_settings;
}

} // namespace jackdawweir::settings
