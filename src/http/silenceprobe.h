#pragma once

#include <asio/ip/tcp.hpp>

namespace persimmonfield {

// Has the system probe an idle connection and end one from which nothing comes back for about three seconds.
void probeSilence(asio::ip::tcp::socket& socket);

}
