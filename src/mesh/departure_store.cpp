#include "jackdawweir/mesh/departure_store.h"

#include <chrono>
#include <optional>
#include <utility>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::mesh {

namespace {

constexpr const char *fileName = "departures";
constexpr const char *completenessFileName = "departures-complete";
constexpr const char *completeMark = "complete";

// The age of a departure that was read from disk. The time since it was saved is unknown, and a
// node refuses requests for a server that departed this long ago.
constexpr std::chrono::milliseconds ageAfterRestart{10'000};

} // namespace

departure_store::departure_store(storage::store_opener opener)
    : m_opener(std::move(opener))
{
}

core::status departure_store::open()
{
    if (m_files != nullptr) {
        return core::okStatus();
    }
    core::result<std::unique_ptr<storage::store>> opened = m_opener();
    if (const core::error *failure = core::errorIn(opened)) {
        return *failure;
    }
    m_files = core::valueIn(std::move(opened));
    return core::okStatus();
}

core::result<fleet::departed_servers> departure_store::load()
{
    if (const core::status opened = open(); !core::isOk(opened)) {
        return *core::errorIn(opened);
    }
    const core::result<std::optional<std::string>> bytes = m_files->readSnapshot(fileName);
    if (const core::error *failure = core::errorIn(bytes)) {
        m_files.reset();
        return *failure;
    }
    if (!core::valueIn(bytes)) {
        return fleet::departed_servers();
    }
    core::result<fleet::departed_servers> decoded
        = wire::decodeValue<fleet::departed_servers>(*core::valueIn(bytes));
    if (core::errorIn(decoded) != nullptr) {
        return decoded;
    }
    fleet::departed_servers departedServers = core::valueIn(std::move(decoded));
    for (auto &[host, departures] : departedServers) {
        for (fleet::departure &each : departures) {
            each.age = ageAfterRestart;
        }
    }
    return departedServers;
}

core::status departure_store::save(const fleet::departed_servers &departedServers)
{
    return write(fileName, wire::encodeValue(departedServers));
}

core::status departure_store::write(const char *name, const std::string &bytes)
{
    core::status written = open();
    if (core::isOk(written)) {
        written = m_files->writeSnapshot(name, bytes);
    }
    if (!core::isOk(written)) {
        m_files.reset();
    }
    return written;
}

core::result<bool> departure_store::loadCompleteness()
{
    if (const core::status opened = open(); !core::isOk(opened)) {
        return *core::errorIn(opened);
    }
    const core::result<std::optional<std::string>> bytes
        = m_files->readSnapshot(completenessFileName);
    if (const core::error *failure = core::errorIn(bytes)) {
        m_files.reset();
        return *failure;
    }
    return core::valueIn(bytes) == completeMark;
}

core::status departure_store::saveCompleteness(bool isComplete)
{
    return write(completenessFileName, isComplete ? completeMark : "");
}

} // namespace jackdawweir::mesh
