#include "samples/stand_in_server/announcer.h"

#include <chrono>
#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/proxy/upstream_client.h"

namespace jackdawweir::stand_in {

namespace {

// A third of the lease of 1.5 s, so that the lease survives the loss of two announcements.
constexpr std::chrono::milliseconds announceInterval{500};
constexpr std::chrono::milliseconds announceTimeout{400};

std::string formOf(const membership::backend_server &announced)
{
    return absl::StrCat("service=",
                        announced.service.value,
                        "&version=",
                        announced.version.value,
                        "&address=",
                        announced.address.value,
                        "&slots=",
                        announced.slots,
                        "&connections=",
                        announced.connections,
                        "&incarnation=",
                        announced.incarnation,
                        "&state=ready");
}

void send(const core::endpoint &node, const char *method, const std::string &form)
{
    proxy::upstream_request request;
    request.address = node;
    request.method = method;
    request.target = "/v1/announce";
    request.headers.push_back({"Content-Type", "application/x-www-form-urlencoded"});
    request.body = form;
    request.timeout = announceTimeout;
    proxy::upstream_client().send(request);
}

} // namespace

announcer::announcer(core::endpoint node, membership::backend_server announced)
    : m_node(std::move(node))
    , m_announced(std::move(announced))
    , m_thread([this] { run(); })
{
}

announcer::~announcer()
{
    withdraw();
}

void announcer::run()
{
    const std::string form = formOf(m_announced);
    while (!m_stopping) {
        send(m_node, "PUT", form);
        std::this_thread::sleep_for(announceInterval);
    }
}

void announcer::withdraw()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    m_thread.join();
    send(m_node, "DELETE", formOf(m_announced));
}

} // namespace jackdawweir::stand_in
