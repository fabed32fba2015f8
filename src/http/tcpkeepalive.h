#pragma once

#include <asio/ip/tcp.hpp>

namespace persimmonfield {

// Makes the kernel send keep-alive probes on an idle connection and abort a connection whose peer has not
// responded for about 3 seconds.
void enableTcpKeepAlive(asio::ip::tcp::socket& socket);

}
