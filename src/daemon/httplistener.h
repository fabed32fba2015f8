#pragma once

#include "base/address.h"

#include <absl/status/status.h>

namespace httplib {
class Server;
}

namespace persimmonfield {

// Binds the server to an address that nobody else may share, with room for many callers to come at once.
// Unavailable when the address is taken.
absl::Status listenOn(httplib::Server& server, const Address& address);

}
