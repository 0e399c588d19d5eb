// The part of a settings builder that names the own host, shared by several modules.
//
//     class settings_builder : public core::host_settings_builder<settings_builder, my_settings>
//
// The settings have the members ownHost, dataCentre, ownEndpoint and incarnation.

#pragma once

#include <cstdint>
#include <string>

namespace jackdawweir::core {

template<typename Builder, typename Settings>
class host_settings_builder
{
public:
    Builder &ownHost(const std::string &name)
    {
        m_settings.ownHost.value = name;
        return self();
    }

    Builder &dataCentre(const std::string &name)
    {
        m_settings.dataCentre.value = name;
        return self();
    }

    Builder &ownEndpoint(const std::string &address)
    {
        m_settings.ownEndpoint.value = address;
        return self();
    }

    // Greater at each start of the process: wall time in nanoseconds at start.
    Builder &incarnation(std::uint64_t incarnation)
    {
        m_settings.incarnation = incarnation;
        return self();
    }

protected:
    // Returns true if all four are stated.
    bool hasHost() const
    {
        return !m_settings.ownHost.empty() && !m_settings.dataCentre.empty()
            && !m_settings.ownEndpoint.empty() && m_settings.incarnation != 0;
    }

    Settings m_settings;

private:
    Builder &self()
    {
        return static_cast<Builder &>(*this);
    }
};

} // namespace jackdawweir::core
