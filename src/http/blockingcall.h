#pragma once

#include "http/httpclient.h"

namespace persimmonfield {

// The address with its host in numeric form, of IPv4 if the host has such an address; unchanged if the host
// is not known. May wait for a name server.
Address resolved(const Address& address);

// Makes one call on a connection of its own and waits for its end. The host of `options.address` may be a
// name.
CallResult blockingCall(HttpClientOptions options, HttpRequest request, Duration timeout);

}
