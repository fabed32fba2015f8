#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonfield {

// An IP address and a TCP port.
struct Address {
    std::string host;
    int port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

// Parses "IP:PORT". Returns InvalidArgument with the cause if the text is not valid.
absl::StatusOr<Address> parseAddress(std::string_view text);

}
