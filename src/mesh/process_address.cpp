#include "jackdawweir/mesh/process_address.h"

#include <random>

#include <absl/strings/str_cat.h>

namespace jackdawweir::mesh {

namespace {

// Draws a part of an address, without 0 and 255, which have meanings of their own at its ends.
unsigned drawPart(core::random_engine &engine)
{
    std::uniform_int_distribution<unsigned> parts(1, 254);
    return parts(engine);
}

} // namespace

core::endpoint drawProcessAddress(core::random_engine &engine, std::uint16_t port)
{
    const unsigned second = drawPart(engine);
    const unsigned third = drawPart(engine);
    const unsigned fourth = drawPart(engine);
    return core::endpoint{absl::StrCat("127.", second, ".", third, ".", fourth, ":", port)};
}

} // namespace jackdawweir::mesh
