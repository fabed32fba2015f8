#include "http/silenceprobe.h"

#include <netinet/tcp.h>

namespace persimmonfield {
namespace {

    using IntegerOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using IntervalOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using CountOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using UserTimeoutOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    // Short against the three seconds after which an instance counts as out of touch.
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int mostProbes = 2;
    constexpr int userTimeoutMs = 2'500;

}

void probeSilence(asio::ip::tcp::socket& socket)
{
    std::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntegerOption(idleSeconds), ignored);
    socket.set_option(IntervalOption(intervalSeconds), ignored);
    socket.set_option(CountOption(mostProbes), ignored);
    socket.set_option(UserTimeoutOption(userTimeoutMs), ignored);
}

}
