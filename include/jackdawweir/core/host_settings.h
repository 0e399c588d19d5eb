// A base class for the settings builders of several modules. It sets the identity of the host that
// the process runs on.
//
//     class settings_builder : public core::host_settings_builder<settings_builder, my_settings>
//
// The settings type must have the members ownHost, dataCentre, ownEndpoint and incarnation.

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

    // The wall time in nanoseconds at the start of the process, so that each start has a greater
    // incarnation than the one before.
    Builder &incarnation(std::uint64_t incarnation)
    {
        m_settings.incarnation = incarnation;
        return self();
    }

protected:
    // Returns true if all four settings are set.
    bool hasHostSettings() const
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
