// What one run of the program carries: options, output streams and calls to the servers.

#pragma once

#include <iosfwd>
#include <optional>
#include <string>

#include "cli/http_client.h"
#include "cli/options.h"
#include "jackdawweir/core/error.h"

namespace jackdawweir::cli {

struct session {
    const command_options &options;
    std::ostream &out;
    std::ostream &err;
};

// Prints a usage error and returns its exit code.
int reportUsage(const session &run, const std::string &message);

// Prints an outcome with its value as "OUTCOME: VALUE" or as JSON {"outcome": ..., KEY: ...}.
void printOutcome(const session &run,
                  const std::string &outcome,
                  const std::string &key,
                  const std::string &value);

// Reads a file whole; larger ones than a document may be are cut off and then refused by the
// reader. Returns nothing and reports where it cannot be read.
std::optional<std::string> readFile(const session &run, const std::string &path);

// Reads the operator token, or reports why there is none.
std::optional<std::string> readToken(const session &run);

// Asks the servers in turn until one answers. Reports and returns nothing where none does.
std::optional<http_reply> getFromAny(const session &run, const std::string &path);

// Returns the exit code for a status of an answer.
int exitCodeOf(long status);

} // namespace jackdawweir::cli
