#include "jackdawweir/fleet/records.h"

#include <map>
#include <utility>

namespace jackdawweir::fleet {

std::vector<host_record> newestOfEachHost(std::vector<host_record> records)
{
    std::map<core::host_name, host_record *> newest;
    for (host_record &each : records) {
        host_record *&held = newest[each.host];
        if (held == nullptr || isNewer(each, *held)) {
            held = &each;
        }
    }
    std::vector<host_record> listed;
    listed.reserve(newest.size());
    for (const auto &[host, record] : newest) {
        listed.push_back(std::move(*record));
    }
    return listed;
}

} // namespace jackdawweir::fleet
