#include "jackdawweir/agreement/replica_store.h"

#include <utility>
#include <variant>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement {

namespace {

constexpr const char *fileName = "agreement";

// A record of the log file. An entry replaces all earlier entries from its index on.
using stored_record = std::variant<hard_state, entry>;

core::error storedStateError(core::error_code code, const char *message)
{
    return core::error{code, "load-agreement", "", message};
}

void addReplacing(std::vector<entry> &entries, entry added)
{
    while (!entries.empty() && entries.back().index >= added.index) {
        entries.pop_back();
    }
    entries.push_back(std::move(added));
}

core::status loadRecord(stored_state &stored, const std::string &bytes)
{
    core::result<stored_record> record = wire::decode<stored_record>(bytes, core::endpoint{});
    if (const core::error *failure = core::errorIn(record)) {
        return *failure;
    }
    stored_record &content = std::get<0>(record);
    if (auto *hard = std::get_if<hard_state>(&content)) {
        stored.hard = std::move(*hard);
    } else {
        addReplacing(stored.entries, std::get<entry>(std::move(content)));
    }
    return core::okStatus();
}

// Drops the entries that the snapshot covers, which a crash between the writes of the snapshot and
// of the log leaves behind. The entries after the snapshot are kept only if they continue it.
void dropCompacted(stored_state &stored)
{
    if (!stored.latestSnapshot) {
        return;
    }
    const log_position last = stored.latestSnapshot->last;
    bool continues = !stored.entries.empty() && stored.entries.front().index == last.index + 1;
    std::vector<entry> kept;
    for (entry &each : stored.entries) {
        continues = continues || (each.index == last.index && each.term == last.term);
        if (each.index > last.index) {
            kept.push_back(std::move(each));
        }
    }
    stored.entries = continues ? std::move(kept) : std::vector<entry>();
}

core::status loadSnapshot(stored_state &stored, storage::store &files)
{
    const core::result<std::optional<std::string>> bytes = files.readSnapshot(fileName);
    if (const core::error *failure = core::errorIn(bytes)) {
        return *failure;
    }
    if (!core::valueIn(bytes)) {
        return core::okStatus();
    }
    core::result<snapshot> decoded = wire::decodeValue<snapshot>(*core::valueIn(bytes));
    if (const core::error *failure = core::errorIn(decoded)) {
        return *failure;
    }
    stored.latestSnapshot = core::valueIn(std::move(decoded));
    return core::okStatus();
}

// Checks that the log begins right after the snapshot and has no gap.
core::status checkStored(const stored_state &stored)
{
    const bool hasLog = stored.latestSnapshot || !stored.entries.empty();
    if (hasLog && stored.hard.id.isNone()) {
        return storedStateError(core::error_code::DataLoss, "the log file was lost");
    }
    std::uint64_t expected = stored.latestSnapshot ? stored.latestSnapshot->last.index + 1 : 1;
    for (const entry &each : stored.entries) {
        if (each.index != expected) {
            return storedStateError(core::error_code::DataLoss, "log entries are missing");
        }
        ++expected;
    }
    return core::okStatus();
}

} // namespace

replica_store::replica_store(storage::store &files, storage::opened_log log, stored_state stored)
    : m_files(files)
    , m_log(std::move(log.file))
    , m_discardedTail(std::move(log.discardedTail))
    , m_stored(std::move(stored))
{
}

core::result<std::unique_ptr<replica_store>> replica_store::open(storage::store &files)
{
    core::result<storage::opened_log> opened = files.openLog(fileName);
    if (const core::error *failure = core::errorIn(opened)) {
        return *failure;
    }
    stored_state stored;
    for (const std::string &record : core::valueIn(opened).records) {
        if (const core::status loaded = loadRecord(stored, record); !core::isOk(loaded)) {
            return *core::errorIn(loaded);
        }
    }
    if (const core::status loaded = loadSnapshot(stored, files); !core::isOk(loaded)) {
        return *core::errorIn(loaded);
    }
    dropCompacted(stored);
    if (const core::status checked = checkStored(stored); !core::isOk(checked)) {
        return *core::errorIn(checked);
    }
    return std::unique_ptr<replica_store>(
        new replica_store(files, core::valueIn(std::move(opened)), std::move(stored)));
}

stored_state replica_store::takeStored()
{
    return std::exchange(m_stored, stored_state{});
}

const std::optional<storage::discarded_tail> &replica_store::discardedLogTail() const
{
    return m_discardedTail;
}

core::status replica_store::write(const persist &batch)
{
    std::vector<std::string> records;
    if (batch.hard) {
        records.push_back(wire::encode(stored_record(*batch.hard)));
    }
    for (const entry &each : batch.entries) {
        records.push_back(wire::encode(stored_record(each)));
    }
    if (batch.latestSnapshot) {
        core::status written
            = m_files.writeSnapshot(fileName, wire::encodeValue(*batch.latestSnapshot));
        return core::isOk(written) ? m_log->rewrite(records) : written;
    }
    for (const std::string &record : records) {
        if (core::status appended = m_log->append(record); !core::isOk(appended)) {
            return appended;
        }
    }
    return core::okStatus();
}

core::status replica_store::sync()
{
    return m_log->sync();
}

core::status
initialise(storage::store &files, const core::endpoint &address, core::random_engine &engine)
{
    core::result<std::unique_ptr<replica_store>> opened = replica_store::open(files);
    if (const core::error *failure = core::errorIn(opened)) {
        return *failure;
    }
    replica_store &newStore = *std::get<0>(opened);
    if (!newStore.takeStored().hard.id.isNone()) {
        return core::error{
            core::error_code::InvalidArgument, "initialise", "", "the data folder is not empty"};
    }
    persist batch;
    batch.hard = hard_state{};
    while (batch.hard->id.isNone()) {
        batch.hard->id.value = engine();
    }
    batch.hard->term = 1;
    const membership first{{member{batch.hard->id, address, member_role::Voter}}, {}};
    batch.entries.push_back(entry{1, 1, entry_kind::Membership, wire::encodeValue(first)});
    if (core::status stored = newStore.write(batch); !core::isOk(stored)) {
        return stored;
    }
    return newStore.sync();
}

} // namespace jackdawweir::agreement
