#include "daemon/httplistener.h"

#include <fmt/format.h>
#include <httplib.h>

#include <sys/socket.h>

namespace persimmonfield {
namespace {

    constexpr int connectionBacklog = 1'024;

}

absl::Status listenOn(httplib::Server& server, const Address& address)
{
    int listeningSocket = -1;
    server.set_socket_options([&listeningSocket](int socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        listeningSocket = socket;
    });
    const bool isBound = server.bind_to_port(address.host, address.port);
    server.set_socket_options(nullptr);
    if (!isBound)
        return absl::UnavailableError(fmt::format("cannot listen on {}", address.text()));
    // The library's own backlog of a few connections is too small for the callers that connect at once.
    ::listen(listeningSocket, connectionBacklog);
    return absl::OkStatus();
}

}
