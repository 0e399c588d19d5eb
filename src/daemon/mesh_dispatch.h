// Decodes messages received from the mesh and passes them to the state machines of a process.

#pragma once

#include "daemon/process_context.h"
#include "jackdawweir/transport/mesh_transport.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

// Calls `handle` with the decoded message. A message that does not decode is logged and dropped.
template<typename Message, typename Handler>
void decodeAndHandle(process_context &context,
                     const transport::received_message &received,
                     Handler handle)
{
    const core::result<Message> decoded = wire::decode<Message>(received.payload, received.from);
    if (const core::error *failure = core::errorIn(decoded)) {
        context.recordError("message-refused", *failure);
        return;
    }
    handle(core::valueIn(decoded));
}

} // namespace jackdawweir::daemon
