#pragma once

#include "base/address.h"
#include "base/time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// A connection accepted by ScriptedServer.
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection> {
public:
    using Handler = std::function<void(ScriptedConnection& connection, const std::string& request)>;

    ScriptedConnection(asio::ip::tcp::socket socket, Handler handler, bool readsBodies)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , handler_(std::move(handler))
        , readsBodies_(readsBodies)
    {
        std::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, size_t size) {
                self->buffer_.append(self->chunk_.data(), size);
                self->extractRequests();
                if (self->leavesBodyUnread_)
                    return self->keepUntilClosed();
                if (!error)
                    return self->read();
                self->isClosed_ = true;
                self->socket_.close(error);
            });
    }

    void send(const std::string& bytes)
    {
        std::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    // Shuts down the sending direction; the peer reads end of file.
    void shutdownSend()
    {
        std::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        hasSentEnd_ = true;
    }

    void reset()
    {
        std::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        isClosed_ = true;
    }

    // Resets the connection when isAcknowledged() is true.
    void resetOnceAcknowledged()
    {
        if (isAcknowledged())
            return reset();
        timer_.expires_after(Milliseconds(1));
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error)
                self->resetOnceAcknowledged();
        });
    }

    // Whether the peer has acknowledged all sent bytes and, after shutdownSend(), the FIN.
    bool isAcknowledged()
    {
        int unacknowledged = 0;
        tcp_info info {};
        socklen_t size = sizeof(info);
        ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged);
        getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
        return unacknowledged == 0 && (!hasSentEnd_ || info.tcpi_state == TCP_FIN_WAIT2);
    }

    bool isClosed() const { return isClosed_; }
    const std::vector<std::string>& requests() const { return requests_; }

private:
    // Size in bytes of the first request in the buffer; 0 while the request is incomplete.
    size_t requestSize() const
    {
        static const std::string lengthField = "Content-Length: ";
        const size_t headEnd = buffer_.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return 0;
        const size_t field = buffer_.find(lengthField);
        const size_t body
            = field < headEnd ? std::strtoul(buffer_.c_str() + field + lengthField.size(), nullptr, 10) : 0;
        const size_t size = headEnd + 4 + (readsBodies_ ? body : 0);
        return buffer_.size() < size ? 0 : size;
    }

    void extractRequests()
    {
        while (const size_t size = leavesBodyUnread_ ? 0 : requestSize()) {
            requests_.push_back(buffer_.substr(0, size));
            buffer_.erase(0, size);
            leavesBodyUnread_ = !readsBodies_ && !buffer_.empty();
            handler_(*this, std::string(requests_.back()));
        }
    }

    // Waits for the peer to close the connection, without reading what it sends.
    void keepUntilClosed()
    {
        socket_.async_wait(asio::ip::tcp::socket::wait_error, [self = shared_from_this()](std::error_code) {
            std::error_code ignored;
            self->isClosed_ = true;
            self->socket_.close(ignored);
        });
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    Handler handler_;
    bool readsBodies_;
    bool leavesBodyUnread_ = false; // From the head of a request with a body on, if bodies are not read.
    std::array<char, 4'096> chunk_ {};
    std::string buffer_;
    std::vector<std::string> requests_;
    bool hasSentEnd_ = false;
    bool isClosed_ = false;
};

// A server on loopback whose responses are written by the test, byte for byte.
class ScriptedServer {
public:
    using Connection = std::shared_ptr<ScriptedConnection>;

    ScriptedServer(asio::io_context& loop, const Address& address, ScriptedConnection::Handler handler)
        : acceptor_(loop, { asio::ip::make_address(address.host), static_cast<uint16_t>(address.port) })
        , handler_(std::move(handler))
    {
        accept();
    }

    const std::vector<Connection>& connections() const { return connections_; }

    // Connections that are accepted from now on leave bodies unread: the handler gets the head of a request
    // while the client is still writing the body. The small receive buffer, which accepted sockets inherit,
    // keeps the kernel from taking a long body.
    void leaveBodiesUnread()
    {
        readsBodies_ = false;
        acceptor_.set_option(asio::socket_base::receive_buffer_size(smallReceiveBufferBytes));
    }

private:
    static constexpr int smallReceiveBufferBytes = 4'096;

    void accept()
    {
        acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            connections_.push_back(
                std::make_shared<ScriptedConnection>(std::move(socket), handler_, readsBodies_));
            connections_.back()->read();
            accept();
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    ScriptedConnection::Handler handler_;
    bool readsBodies_ = true;
    std::vector<Connection> connections_;
};

}
