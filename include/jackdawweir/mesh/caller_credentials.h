// Takes the credentials of a caller out of the headers of its request, so that they are not
// forwarded with the others.
//
//     caller_credentials credentials = takeCredentials(request.headers, names);
//     const workspace *holder = directory.findByKey(credentials.apiKey);

#pragma once

#include <string>

#include "jackdawweir/forwarding/header_names.h"
#include "jackdawweir/http/message.h"

namespace jackdawweir::mesh {

struct caller_credentials {
    // Empty if the caller states no key.
    std::string apiKey;
    // The headers as the caller sent them, for servers of a policy without workspaces.
    http::header_list headers;
};

// Removes all headers with credentials, whatever their form. Several of them are read as one list,
// which is not the key of any workspace.
caller_credentials takeCredentials(http::header_list &headers,
                                   const forwarding::header_names &names);

} // namespace jackdawweir::mesh
