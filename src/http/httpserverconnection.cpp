#include "http/httpserverconnection.h"

#include "base/logger.h"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include <poll.h>

#include <array>
#include <utility>

namespace persimmonfield {
namespace {

    namespace http = boost::beast::http;

    // Unanswered requests of one connection. While there are so many, no further request is parsed.
    constexpr size_t maxPipelinedRequests = 32;
    constexpr size_t readBufferBytes = 8'192;
    // How long bytes that the caller sends after the last answer are read and discarded.
    constexpr Milliseconds lingerTimeout { 1'000 };
    constexpr int statusBadRequest = 400;
    constexpr int statusTooLarge = 413;
    constexpr int statusHeadersTooLarge = 431;
    constexpr int statusBadGateway = 502;

    HttpRequest toHttpRequest(http::request<http::string_body> message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string().data(), message.method_string().size());
        request.target = std::string(message.target().data(), message.target().size());
        for (const auto& field : message) {
            request.headers.push_back({ std::string(field.name_string().data(), field.name_string().size()),
                std::string(field.value().data(), field.value().size()) });
        }
        request.body = std::move(message.body());
        return request;
    }

    const char* toString(CloseReason end)
    {
        switch (end) {
        case CloseReason::LastAnswer:
            return "last-answer";
        case CloseReason::CallerLeft:
            return "caller-left";
        case CloseReason::Idle:
            return "idle";
        case CloseReason::Drained:
            return "drained";
        case CloseReason::ServerStopped:
            return "server-stopped";
        }
        return "unknown";
    }

    int statusFor(const boost::beast::error_code& error)
    {
        if (error == http::error::header_limit)
            return statusHeadersTooLarge;
        if (error == http::error::body_limit)
            return statusTooLarge;
        return statusBadRequest;
    }

}

HttpServerConnection::HttpServerConnection(HttpServer& server, asio::ip::tcp::socket socket)
    : server_(&server)
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
{
}

void HttpServerConnection::start()
{
    std::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    armTimer();
    read();
}

bool HttpServerConnection::canReadMore() const
{
    return server_ && !isLastRequestRead_ && pendingExchanges_.size() < maxPipelinedRequests;
}

void HttpServerConnection::read()
{
    if (isReading_ || !server_)
        return;
    isReading_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
        self->isReading_ = false;
        if (!self->server_)
            return;
        if (error)
            return self->handleDisconnect();
        self->readAvailable();
        if (self->canReadMore() || self->isLastRequestRead_)
            self->read();
    });
}

// Reads up to one buffer of the bytes that have arrived; false if there are none. Bytes stay in the socket
// until they are handled, so that closeIfIdle() and onTimeout() find a request that has arrived but whose
// handler has not run yet.
bool HttpServerConnection::readAvailable()
{
    std::array<char, readBufferBytes> chunk;
    std::error_code error;
    const size_t size = socket_.read_some(asio::buffer(chunk), error);
    if (error == asio::error::would_block)
        return false;
    if (error) {
        handleDisconnect();
        return true;
    }
    if (!isLastRequestRead_)
        buffer_.append(chunk.data(), size);
    parse();
    return true;
}

// Parses the buffered bytes until maxPipelinedRequests requests are unanswered.
void HttpServerConnection::parse()
{
    size_t used = 0;
    while (canReadMore() && used < buffer_.size()) {
        if (!parser_) {
            parser_.emplace();
            parser_->eager(true);
            parser_->header_limit(static_cast<uint32_t>(server_->limits_.headerBytes));
            parser_->body_limit(server_->limits_.bodyBytes);
        }
        boost::beast::error_code error;
        used += parser_->put(boost::asio::buffer(buffer_.data() + used, buffer_.size() - used), error);
        const bool needsMore = error == http::error::need_more;
        if (error && !needsMore)
            return rejectRequest(statusFor(error));
        const bool wasInMessage = std::exchange(isInMessage_, true);
        if (parser_->is_done())
            dispatchRequest();
        else if (!wasInMessage)
            armTimer();
        if (needsMore)
            break;
    }
    buffer_.erase(0, used);
    // The parser limits the size of headers and bodies, but not of chunk extensions and trailers.
    if (canReadMore() && buffer_.size() > server_->limits_.headerBytes)
        rejectRequest(statusHeadersTooLarge);
}

void HttpServerConnection::dispatchRequest()
{
    isInMessage_ = false;
    const bool isLastRequest = !parser_->get().keep_alive();
    auto exchange = std::make_shared<HttpExchange>(
        weak_from_this(), toHttpRequest(parser_->release()), BootClock::now());
    parser_.reset();
    exchange->isLastOnConnection_ = isLastRequest;
    isLastRequestRead_ = isLastRequest;
    hasCallerAnnouncedClose_ = isLastRequest;
    pendingExchanges_.push_back(exchange);
    timer_.cancel();
    try {
        server_->handler_(exchange);
    } catch (const std::exception& error) {
        // How far the handler came is not known, so the answer must not say that the request did not run.
        log(LogLevel::Error, "request-handler-failed", { { "cause", error.what() } });
        HttpResponse response;
        response.status = statusBadGateway;
        exchange->respond(std::move(response));
    }
}

// Answers input that is not a valid request, after the answers to the requests before it.
void HttpServerConnection::rejectRequest(int status)
{
    log(LogLevel::Info, "request-unreadable", { { "status", status } });
    isLastRequestRead_ = true;
    auto exchange = std::make_shared<HttpExchange>(weak_from_this(), HttpRequest {}, BootClock::now());
    exchange->isLastOnConnection_ = true;
    pendingExchanges_.push_back(exchange);
    HttpResponse response;
    response.status = status;
    exchange->respond(std::move(response));
}

void HttpServerConnection::flush()
{
    if (!server_ || isWriting_)
        return;
    std::string bytes;
    while (!pendingExchanges_.empty() && pendingExchanges_.front()->isAnswered_ && !shouldCloseAfterWrite_) {
        const auto exchange = std::move(pendingExchanges_.front());
        pendingExchanges_.pop_front();
        // Draining closes the connection only after the pipelined requests that were read after this one have
        // been answered, too.
        const bool isDrained = server_->isDraining_ && pendingExchanges_.empty();
        shouldCloseAfterWrite_ = exchange->isLastOnConnection_ || isDrained;
        isLastRequestRead_ = isLastRequestRead_ || shouldCloseAfterWrite_;
        bytes += encodeResponse(
            exchange->response_, { shouldCloseAfterWrite_, exchange->request_.method == "HEAD" });
    }
    if (!bytes.empty())
        write(std::move(bytes));
}

void HttpServerConnection::write(std::string bytes)
{
    isWriting_ = true;
    auto ownedBytes = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(socket_, asio::buffer(*ownedBytes),
        [self = shared_from_this(), ownedBytes](std::error_code error, size_t) {
            self->isWriting_ = false;
            if (error)
                return self->handleDisconnect();
            if (self->shouldCloseAfterWrite_)
                return self->startLingeringClose();
            self->flush();
            if (self->pendingExchanges_.empty())
                self->armTimer();
            // Parses requests that were held back by the limit on pipelined requests.
            self->parse();
            if (self->canReadMore())
                self->read();
        });
}

// Closing a socket with unread bytes resets the connection, and the reset can destroy the part of the answer
// that the caller has not received yet. So only the sending direction is shut down at first; the socket is
// closed when the caller has closed its direction, or after lingerTimeout.
void HttpServerConnection::startLingeringClose()
{
    if (hasCallerAnnouncedClose_)
        return close(CloseReason::LastAnswer);
    isLingering_ = true;
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(lingerTimeout);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->close(CloseReason::LastAnswer);
    });
    read();
}

// Called when the caller has closed the connection or it has failed, so no answer can be delivered any more.
void HttpServerConnection::handleDisconnect()
{
    auto waiting = std::move(pendingExchanges_);
    pendingExchanges_.clear();
    close(isLingering_ ? CloseReason::LastAnswer : CloseReason::CallerLeft);
    for (const auto& exchange : waiting) {
        if (!exchange->isAnswered_ && exchange->onDisconnect_)
            exchange->onDisconnect_();
    }
}

bool HttpServerConnection::hasCallerDisconnected()
{
    if (!server_)
        return true;
    pollfd state { socket_.native_handle(), POLLRDHUP, 0 };
    if (::poll(&state, 1, 0) <= 0)
        return false;
    // The regular read may not reach the end of the stream: it stops while too many requests are unanswered.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handleDisconnect(); });
    return true;
}

void HttpServerConnection::closeIfIdle(CloseReason cause)
{
    const auto self = shared_from_this();
    if (server_ && isIdle())
        readAvailable();
    if (server_ && isIdle())
        close(cause);
}

void HttpServerConnection::close(CloseReason cause)
{
    if (!server_)
        return;
    const auto self = shared_from_this();
    std::exchange(server_, nullptr)->remove(self);
    timer_.cancel();
    std::error_code ignored;
    const size_t unreadBytes = buffer_.size() + socket_.available(ignored);
    // Requests that arrive after the last answer count as unread; callers send them again.
    const bool isDataLost
        = !pendingExchanges_.empty() || isWriting_ || (unreadBytes > 0 && cause != CloseReason::LastAnswer);
    if (isDataLost && cause != CloseReason::CallerLeft)
        logDataLoss(cause, unreadBytes);
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void HttpServerConnection::logDataLoss(CloseReason cause, size_t unreadBytes) const
{
    log(LogLevel::Warning, "connection-cut",
        { { "cause", toString(cause) }, { "unanswered", pendingExchanges_.size() },
            { "unreadBytes", unreadBytes }, { "isInMessage", isInMessage_ }, { "isWriting", isWriting_ },
            { "hasEnded", isLastRequestRead_ } });
}

// Starts the timeout for the rest of a request, or the idle timeout if no request has begun.
void HttpServerConnection::armTimer()
{
    if (!server_)
        return;
    timer_.expires_after(isInMessage_ ? server_->limits_.headerTimeout : server_->limits_.idleTimeout);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->onTimeout();
    });
}

void HttpServerConnection::onTimeout()
{
    const auto isTimeUp
        = [this] { return server_ && asio::steady_timer::clock_type::now() >= timer_.expiry(); };
    // The timer may have been armed again after it expired but before this handler ran.
    if (!isTimeUp())
        return;
    if (!isInMessage_)
        return closeIfIdle(CloseReason::Idle);
    const auto isOverdue = [this, &isTimeUp] {
        return isTimeUp() && isInMessage_ && pendingExchanges_.empty() && !isWriting_;
    };
    // The event loop may be late, and the rest of the request may have arrived already.
    while (isOverdue() && readAvailable()) { }
    if (isOverdue())
        close(CloseReason::Idle);
}

}
