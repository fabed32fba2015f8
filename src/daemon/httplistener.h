#pragma once

#include "base/address.h"

#include <absl/status/status.h>

namespace httplib {
class Server;
}

namespace persimmonfield {

// Binds the server exclusively to an address, with a backlog large enough for many simultaneous connections.
// Returns Unavailable if the address is in use.
absl::Status listenOn(httplib::Server& server, const Address& address);

}
