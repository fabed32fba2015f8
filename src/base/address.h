#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonfield {

// An IP number and a TCP port.
struct Address {
    std::string host;
    int port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

// Reads "IP:PORT"; InvalidArgument says what is wrong with it.
absl::StatusOr<Address> parseAddress(std::string_view text);

}
