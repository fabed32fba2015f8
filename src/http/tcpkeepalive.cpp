#include "http/tcpkeepalive.h"

#include <netinet/tcp.h>

namespace persimmonfield {
namespace {

    using KeepIdleOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepIntervalOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCountOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using UserTimeoutOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    // Short compared with the 3 seconds after which an instance is considered unreachable.
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int maxProbes = 2;
    constexpr int userTimeoutMs = 2'500;

}

void enableTcpKeepAlive(asio::ip::tcp::socket& socket)
{
    std::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdleOption(idleSeconds), ignored);
    socket.set_option(KeepIntervalOption(intervalSeconds), ignored);
    socket.set_option(KeepCountOption(maxProbes), ignored);
    socket.set_option(UserTimeoutOption(userTimeoutMs), ignored);
}

}
