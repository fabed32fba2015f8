#include "base/address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace persimmonfield {
namespace {

    constexpr int maxPort = 65535;

    absl::Status invalid(std::string_view text, std::string_view cause)
    {
        return absl::InvalidArgumentError(fmt::format("'{}' is not IP:PORT: {}", text, cause));
    }

}

absl::StatusOr<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid(text, "no colon");
    Address address;
    address.host = std::string(text.substr(0, colon));
    in_addr ignored {};
    if (inet_pton(AF_INET, address.host.c_str(), &ignored) != 1)
        return invalid(text, "the host is not an IPv4 address");
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc() || end != digits.data() + digits.size())
        return invalid(text, "the port is not a number");
    if (address.port < 1 || address.port > maxPort)
        return invalid(text, "the port is not between 1 and 65535");
    return address;
}

}
