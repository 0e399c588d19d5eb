// The encoding of commands in the replicated log of the sources.

#pragma once

#include <string>

#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/compression.h"

namespace jackdawweir::mesh {

// Commands are compressed since they hold a whole policy, which compresses to a tenth of its size
// and is sent to every other source.
inline std::string encodeCommand(const policy::command &command)
{
    return wire::compress(wire::encode(command));
}

} // namespace jackdawweir::mesh
