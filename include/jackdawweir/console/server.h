// The operators' HTTP port: forms, API, metrics and backend announcements, over libmicrohttpd.
//
//     core::result<std::unique_ptr<console_server>> started
//         = console_server::start(settings.operators, token, plane);

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "jackdawweir/console/control_plane.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::console {

class console_server
{
public:
    // Binds and starts the threads. Port 0 binds any free port. `token` is what writing requires;
    // it is not empty. `plane` outlives the server. Errors: Unavailable where the address cannot be
    // bound, InvalidArgument for a malformed address or an empty token.
    static core::result<std::unique_ptr<console_server>>
    start(const core::endpoint &address, std::string token, control_plane &plane);

    console_server(const console_server &) = delete;
    console_server &operator=(const console_server &) = delete;

    // Finishes the requests in flight and closes the port.
    ~console_server();

    std::uint16_t port() const;

private:
    struct state;
    explicit console_server(std::unique_ptr<state> held);
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::console
