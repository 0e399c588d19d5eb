// Writes flat JSON objects with the YAML emitter, whose output in flow style with JSON escapes is
// valid JSON.
//
//     YAML::Emitter out;
//     json_object(out).add("outcome", "accepted").add("version", version).end();

#pragma once

#include <yaml-cpp/emitter.h>

namespace jackdawweir::observe {

class json_object
{
public:
    explicit json_object(YAML::Emitter &out)
        : m_out(out)
    {
        m_out << YAML::EscapeAsJson << YAML::DoubleQuoted << YAML::Flow << YAML::BeginMap;
    }

    template<typename Value>
    json_object &add(const char *key, const Value &value)
    {
        m_out << YAML::Key << key << YAML::Value << value;
        return *this;
    }

    void end()
    {
        m_out << YAML::EndMap;
    }

private:
    YAML::Emitter &m_out;
};

} // namespace jackdawweir::observe
