// The options and output streams of a command, and functions that several commands use.

#pragma once

#include <iosfwd>
#include <optional>
#include <string>

#include "cli/http_client.h"
#include "cli/options.h"
#include "jackdawweir/core/error.h"

namespace jackdawweir::cli {

struct command_context {
    const command_options &options;
    std::ostream &out;
    std::ostream &err;
};

// Prints a usage error and returns its exit code.
int reportUsageError(const command_context &context, const std::string &message);

// Prints an outcome with its value as "OUTCOME: VALUE" or as JSON {"outcome": ..., KEY: ...}.
void printOutcome(const command_context &context,
                  const std::string &outcome,
                  const std::string &key,
                  const std::string &value);

// Reads a whole file. A file above the maximum size of a document is truncated one byte above it,
// so that the parser refuses it. Prints an error and returns nullopt if the file cannot be read.
std::optional<std::string> readFile(const command_context &context, const std::string &path);

// Reads the operator token, or reports why there is none.
std::optional<std::string> readToken(const command_context &context);

// Sends a GET request to the servers in turn until one responds. Prints the error of each server
// that does not, and returns nullopt if none responds.
std::optional<http_reply> getFromAny(const command_context &context, const std::string &path);

// Returns the exit code for the HTTP status of a response.
int exitCodeOf(long status);

} // namespace jackdawweir::cli
