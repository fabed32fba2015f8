#include "http/httpserver.h"

#include "base/logger.h"
#include "http/connectionchoice.h"
#include "http/httpserverconnection.h"
#include "http/memoryguard.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    constexpr Milliseconds acceptRetryDelay { 100 };
    // A connection on which a request or an answer has not moved for this long may be closed for a new one.
    constexpr Milliseconds stalledConnectionTime { 1'000 };

}

HttpExchange::HttpExchange(
    std::weak_ptr<HttpServerConnection> connection, HttpRequest request, TimePoint arrivedAt)
    : connection_(std::move(connection))
    , request_(std::move(request))
    , arrivedAt_(arrivedAt)
{
}

void HttpExchange::respond(HttpResponse response)
{
    if (std::exchange(isAnswered_, true))
        return;
    response_ = std::move(response);
    onDisconnect_ = nullptr;
    const auto connection = connection_.lock();
    if (!connection)
        return;
    answerBytes_ = connection->holdAnswer(response_.body.size());
    connection->flush();
}

bool HttpExchange::hasCallerDisconnected() const
{
    const auto connection = connection_.lock();
    return !connection || connection->hasCallerDisconnected();
}

HttpServer::HttpServer(asio::io_context& loop, Handler handler)
    : loop_(loop)
    , acceptor_(loop)
    , acceptTimer_(loop)
    , handler_(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::listen(const Address& address)
{
    std::error_code error;
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.host, error), static_cast<uint16_t>(address.port));
    if (!error)
        acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(
            fmt::format("cannot listen on {}: {}", address.text(), error.message()));
    accept();
    return absl::OkStatus();
}

void HttpServer::accept()
{
    acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (isStopped_ || error == asio::error::operation_aborted)
            return;
        if (error) {
            log(LogLevel::Warning, "accept-failed", { { "cause", error.message() } });
            return retryAcceptLater();
        }
        addConnection(std::move(socket));
        if (acceptor_.is_open())
            accept();
    });
}

void HttpServer::setGuard(std::shared_ptr<MemoryGuard> guard, size_t maxConnections, Refusal refuse)
{
    guard_ = std::move(guard);
    maxConnections_ = maxConnections;
    refuse_ = std::move(refuse);
}

// Closes another connection if there are as many as there may be; false if none can be closed.
bool HttpServer::makeRoomForConnection()
{
    if (!guard_ || connections_.size() < maxConnections_)
        return true;
    guard_->recordConnectionClosed();
    std::vector<std::shared_ptr<HttpServerConnection>> all(connections_.begin(), connections_.end());
    std::vector<ConnectionActivity> activities;
    activities.reserve(all.size());
    for (const auto& connection : all)
        activities.push_back(connection->activity());
    const auto chosen = chooseConnectionToClose(activities, stalledConnectionTime, BootClock::now());
    if (!chosen)
        return false;
    all[*chosen]->closeForOther();
    return connections_.size() < maxConnections_;
}

void HttpServer::addConnection(asio::ip::tcp::socket socket)
{
    if (!makeRoomForConnection())
        return;
    const auto connection = std::make_shared<HttpServerConnection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
}

// Closing the listening socket makes the kernel reset the connections in its accept queue, so these are
// accepted first. Returns false if accepting one failed, for example because no file descriptor was free; the
// caller has to try again.
bool HttpServer::stopListening()
{
    std::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(loop_);
        acceptor_.accept(socket, error);
        if (!error)
            addConnection(std::move(socket));
    }
    if (error != asio::error::would_block) {
        log(LogLevel::Warning, "accept-failed", { { "cause", error.message() } });
        return false;
    }
    acceptTimer_.cancel();
    acceptor_.close(error);
    return true;
}

// While no file descriptor is free, every accept fails immediately; the delay prevents a busy loop.
void HttpServer::retryAcceptLater()
{
    acceptTimer_.expires_after(acceptRetryDelay);
    acceptTimer_.async_wait([this](std::error_code error) {
        if (!error && acceptor_.is_open())
            accept();
    });
}

void HttpServer::finish()
{
    if (acceptor_.is_open() && stopListening())
        return;
    const std::vector<std::shared_ptr<HttpServerConnection>> all(connections_.begin(), connections_.end());
    for (const auto& connection : all)
        connection->closeIfIdle(CloseReason::Drained);
}

void HttpServer::stop()
{
    if (std::exchange(isStopped_, true))
        return;
    std::error_code ignored;
    acceptor_.close(ignored);
    const std::vector<std::shared_ptr<HttpServerConnection>> all(connections_.begin(), connections_.end());
    for (const auto& connection : all)
        connection->close(CloseReason::ServerStopped);
}

}
