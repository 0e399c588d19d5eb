// Parses form bodies and applies the edits that they request to a document.

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/membership/backend_server.h"

namespace jackdawweir::console::internal {

// The fields of an application/x-www-form-urlencoded body. The last value of a repeated field is
// used.
class form_fields
{
public:
    explicit form_fields(std::string_view body);

    // Returns the value without surrounding white space; empty for a missing field.
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

// The maximum number of versions that the form of a service accepts.
constexpr std::size_t maxFormVersions = 32;

// Returns the document with the form's edit applied. Only values that a document_builder cannot
// represent (malformed numbers, durations and times) are refused here; all other rules are checked
// by parseDocument. Errors: InvalidArgument.
core::result<document::document> applyEdit(document::document edited, const form_fields &form);

// Parses a backend server's announcement. Errors: InvalidArgument.
core::result<membership::backend_server> readAnnouncement(const form_fields &form);

// Parses the field "incarnation". Errors: InvalidArgument.
core::result<std::uint64_t> readIncarnation(const form_fields &form);

} // namespace jackdawweir::console::internal
