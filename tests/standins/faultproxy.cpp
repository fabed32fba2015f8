#include "standins/faultproxy.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonfield {
namespace {

    using asio::ip::tcp;

    constexpr size_t bufferSize = 16'384;
    // How often a blocked direction checks whether it is unblocked.
    constexpr Milliseconds blockedCheckInterval { 20 };

    tcp::endpoint endpointOf(const Address& address)
    {
        return { asio::ip::make_address(address.host), static_cast<uint16_t>(address.port) };
    }

}

// A client connection and its connection to the target. Both are closed when either side closes.
class FaultProxy::Session : public std::enable_shared_from_this<Session> {
public:
    Session(FaultProxy& proxy, tcp::socket client)
        : proxy_(&proxy)
        , client_(std::move(client))
        , server_(proxy.loop_)
    {
    }

    void start()
    {
        server_.async_connect(proxy_->target_, [self = shared_from_this()](std::error_code error) {
            if (error || !self->proxy_)
                return self->end();
            std::error_code ignored;
            self->client_.set_option(tcp::no_delay(true), ignored);
            self->server_.set_option(tcp::no_delay(true), ignored);
            self->read(self->toTarget_);
            self->read(self->fromTarget_);
        });
    }

    void blackhole() { isBlackholed_ = true; }

    void reset()
    {
        std::error_code ignored;
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        server_.set_option(asio::socket_base::linger(true, 0), ignored);
        end();
    }

    void detach()
    {
        proxy_ = nullptr;
        end();
    }

private:
    struct Direction {
        Direction(tcp::socket& from, tcp::socket& to, bool isToTarget)
            : source(from)
            , sink(to)
            , isTowardsTarget(isToTarget)
            , timer(from.get_executor())
        {
        }

        tcp::socket& source;
        tcp::socket& sink;
        bool isTowardsTarget;
        asio::steady_timer timer;
        std::array<char, bufferSize> buffer {};
        std::string bytes; // To be forwarded.
        bool isLastWrite = false;
    };

    void read(Direction& direction)
    {
        direction.source.async_read_some(asio::buffer(direction.buffer),
            [self = shared_from_this(), &direction](std::error_code error, size_t length) {
                if (error || !self->proxy_)
                    return self->end();
                direction.bytes.assign(direction.buffer.data(), length);
                const auto& filter = self->proxy_->filter_;
                direction.isLastWrite = !direction.isTowardsTarget && filter && !filter(direction.bytes);
                self->wait(direction, self->proxy_->delay_);
            });
    }

    void wait(Direction& direction, Milliseconds time)
    {
        direction.timer.expires_after(time);
        direction.timer.async_wait([self = shared_from_this(), &direction](std::error_code error) {
            if (error || !self->proxy_)
                return;
            if (self->isBlocked(direction))
                return self->wait(direction, blockedCheckInterval);
            self->write(direction);
        });
    }

    bool isBlocked(const Direction& direction) const
    {
        return isBlackholed_
            || (direction.isTowardsTarget ? proxy_->isBlockedToTarget_ : proxy_->isBlockedFromTarget_);
    }

    void write(Direction& direction)
    {
        asio::async_write(direction.sink, asio::buffer(direction.bytes),
            [self = shared_from_this(), &direction](std::error_code error, size_t) {
                if (error || direction.isLastWrite)
                    return self->end();
                self->read(direction);
            });
    }

    void end()
    {
        std::error_code ignored;
        toTarget_.timer.cancel();
        fromTarget_.timer.cancel();
        client_.close(ignored);
        server_.close(ignored);
    }

    FaultProxy* proxy_; // Null once the proxy has stopped.
    tcp::socket client_;
    tcp::socket server_;
    Direction toTarget_ { client_, server_, true };
    Direction fromTarget_ { server_, client_, false };
    bool isBlackholed_ = false;
};

FaultProxy::FaultProxy(asio::io_context& loop, const Address& listenAddress, const Address& target)
    : loop_(loop)
    , acceptor_(loop, endpointOf(listenAddress))
    , target_(endpointOf(target))
{
    accept();
}

FaultProxy::~FaultProxy()
{
    stop();
}

void FaultProxy::stop()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : sessions_) {
        if (const auto session = weak.lock())
            session->detach();
    }
}

void FaultProxy::accept()
{
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
        if (error || !acceptor_.is_open())
            return;
        const auto isExpired = [](const std::weak_ptr<Session>& each) { return each.expired(); };
        sessions_.erase(std::remove_if(sessions_.begin(), sessions_.end(), isExpired), sessions_.end());
        const auto session = std::make_shared<Session>(*this, std::move(socket));
        sessions_.push_back(session);
        session->start();
        accept();
    });
}

void FaultProxy::setBlocked(bool isBlockedToTarget, bool isBlockedFromTarget)
{
    isBlockedToTarget_ = isBlockedToTarget;
    isBlockedFromTarget_ = isBlockedFromTarget;
}

void FaultProxy::blackholeConnections()
{
    for (const auto& weak : sessions_) {
        if (const auto session = weak.lock())
            session->blackhole();
    }
}

void FaultProxy::resetConnections()
{
    for (const auto& weak : sessions_) {
        if (const auto session = weak.lock())
            session->reset();
    }
}

}
