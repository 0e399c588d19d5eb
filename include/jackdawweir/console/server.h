// The operators' HTTP server: forms, API, metrics and announcements of backend servers. It is based
// on libmicrohttpd.
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
    // Binds the address and starts the threads. Port 0 binds any free port. `token` is the operator
    // token that changes require; it must not be empty. `plane` must outlive the server. Errors:
    // Unavailable if the address cannot be bound, InvalidArgument for a malformed address or an
    // empty token.
    static core::result<std::unique_ptr<console_server>>
    start(const core::endpoint &address, std::string token, control_plane &plane);

    console_server(const console_server &) = delete;
    console_server &operator=(const console_server &) = delete;

    // Closes the port after the in-flight requests have finished or a timeout has passed.
    ~console_server();

    std::uint16_t port() const;

private:
    struct state;
    explicit console_server(std::unique_ptr<state> serverState);
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::console
