// An address that a process draws at its start, so that a call to an earlier process of the same
// host does not arrive there.
//
//     const core::endpoint address = drawProcessAddress(engine, 8301);

#pragma once

#include <cstdint>

#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::mesh {

// Returns a random loopback address, one of 16 million, with this port.
core::endpoint drawProcessAddress(core::random_engine &engine, std::uint16_t port);

} // namespace jackdawweir::mesh
