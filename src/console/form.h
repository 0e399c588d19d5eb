// Form bodies and the edits of a document that forms ask for.

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/membership/backend_server.h"

namespace jackdawweir::console::internal {

// The fields of an application/x-www-form-urlencoded body. Of a repeated field, the last counts.
class form_fields
{
public:
    explicit form_fields(std::string_view body);

    // Returns the field without surrounding spaces; empty for a missing one.
    std::string get(const std::string &name) const;

private:
    std::map<std::string, std::string> m_fields;
};

// The values of the field "action".
constexpr const char *actionSetService = "set-service";
constexpr const char *actionRemoveService = "remove-service";
constexpr const char *actionSetRoute = "set-route";
constexpr const char *actionRemoveRoute = "remove-route";
constexpr const char *actionSetMove = "set-move";
constexpr const char *actionRemoveMove = "remove-move";

// The most versions that the form of a service takes in.
constexpr std::size_t maxFormVersions = 32;

// Returns the document with the form's edit. Only what a document_builder cannot hold is refused
// here (numbers, durations, times); the rules are those of parseDocument. Errors: InvalidArgument.
core::result<document::document> applyEdit(document::document edited, const form_fields &form);

// Reads a backend server's announcement. Errors: InvalidArgument.
core::result<membership::backend_server> readAnnouncement(const form_fields &form);

// Reads the field "incarnation". Errors: InvalidArgument.
core::result<std::uint64_t> readIncarnation(const form_fields &form);

} // namespace jackdawweir::console::internal
