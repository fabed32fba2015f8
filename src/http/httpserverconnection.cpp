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

    // Requests of one connection that wait for their answers at the same time.
    constexpr size_t mostRequestsAhead = 32;
    constexpr size_t chunkBytes = 8'192;
    // What a caller still sends behind the last answer is read and dropped for at most so long.
    constexpr Milliseconds lingerTime { 1'000 };
    constexpr int statusBadRequest = 400;
    constexpr int statusTooLarge = 413;
    constexpr int statusHeadersTooLarge = 431;

    HttpRequest requestFrom(http::request<http::string_body> message)
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

    const char* nameOf(ConnectionEnd end)
    {
        switch (end) {
        case ConnectionEnd::LastAnswer:
            return "last-answer";
        case ConnectionEnd::CallerLeft:
            return "caller-left";
        case ConnectionEnd::Idle:
            return "idle";
        case ConnectionEnd::Drained:
            return "drained";
        case ConnectionEnd::ServerStopped:
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

bool HttpServerConnection::mayReadOn() const
{
    return server_ && !hasEnded_ && waiting_.size() < mostRequestsAhead;
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
            return self->leave();
        self->receive();
        if (self->mayReadOn() || self->hasEnded_)
            self->read();
    });
}

// Reads some of what has arrived; false when that is nothing. Nothing is read before it is handled, so that
// it can be seen in the socket until then.
bool HttpServerConnection::receive()
{
    std::array<char, chunkBytes> chunk;
    std::error_code error;
    const size_t size = socket_.read_some(asio::buffer(chunk), error);
    if (error == asio::error::would_block)
        return false;
    if (error) {
        leave();
        return true;
    }
    if (!hasEnded_)
        buffer_.append(chunk.data(), size);
    parse();
    return true;
}

// Parses what was read, as far as further requests may wait.
void HttpServerConnection::parse()
{
    size_t used = 0;
    while (mayReadOn() && used < buffer_.size()) {
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
            return refuse(statusFor(error));
        const bool wasInMessage = std::exchange(isInMessage_, true);
        if (parser_->is_done())
            accept();
        else if (!wasInMessage)
            armTimer();
        if (needsMore)
            break;
    }
    buffer_.erase(0, used);
    // The parser bounds heads and bodies, but neither the extension of a chunk nor trailers.
    if (mayReadOn() && buffer_.size() > server_->limits_.headerBytes)
        refuse(statusHeadersTooLarge);
}

void HttpServerConnection::accept()
{
    isInMessage_ = false;
    const bool isLast = !parser_->get().keep_alive();
    auto exchange
        = std::make_shared<HttpExchange>(weak_from_this(), requestFrom(parser_->release()), BootClock::now());
    parser_.reset();
    exchange->isLastOnConnection_ = isLast;
    hasEnded_ = isLast;
    sendsNoMore_ = isLast;
    waiting_.push_back(exchange);
    timer_.cancel();
    server_->handler_(exchange);
}

// Answers what cannot be read as a request, after the answers that are still due.
void HttpServerConnection::refuse(int status)
{
    log(LogLevel::Info, "request-unreadable", { { "status", status } });
    hasEnded_ = true;
    auto exchange = std::make_shared<HttpExchange>(weak_from_this(), HttpRequest {}, BootClock::now());
    exchange->isLastOnConnection_ = true;
    waiting_.push_back(exchange);
    HttpResponse response;
    response.status = status;
    exchange->respond(std::move(response));
}

void HttpServerConnection::flush()
{
    if (!server_ || isWriting_)
        return;
    std::string bytes;
    while (!waiting_.empty() && waiting_.front()->isAnswered_ && !shouldCloseAfterWrite_) {
        const auto exchange = std::move(waiting_.front());
        waiting_.pop_front();
        // Requests that were read behind this one are answered first.
        const bool isDrained = server_->isDraining_ && waiting_.empty();
        shouldCloseAfterWrite_ = exchange->isLastOnConnection_ || isDrained;
        hasEnded_ = hasEnded_ || shouldCloseAfterWrite_;
        bytes += encodeResponse(
            exchange->response_, { shouldCloseAfterWrite_, exchange->request_.method == "HEAD" });
    }
    if (!bytes.empty())
        write(std::move(bytes));
}

void HttpServerConnection::write(std::string bytes)
{
    isWriting_ = true;
    auto held = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        socket_, asio::buffer(*held), [self = shared_from_this(), held](std::error_code error, size_t) {
            self->isWriting_ = false;
            if (error)
                return self->leave();
            if (self->shouldCloseAfterWrite_)
                return self->linger();
            self->flush();
            if (self->waiting_.empty())
                self->armTimer();
            // Requests that had to wait for room are parsed now.
            self->parse();
            if (self->mayReadOn())
                self->read();
        });
}

// Closing a socket with unread bytes resets the connection, which would destroy what is left of the answer on
// its way: the sending side is closed first, and the rest when the caller has closed its own.
void HttpServerConnection::linger()
{
    if (sendsNoMore_)
        return close(ConnectionEnd::LastAnswer);
    isLingering_ = true;
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(lingerTime);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->close(ConnectionEnd::LastAnswer);
    });
    read();
}

// The caller closed the connection or it broke: nobody waits for the answers any more.
void HttpServerConnection::leave()
{
    auto waiting = std::move(waiting_);
    waiting_.clear();
    close(isLingering_ ? ConnectionEnd::LastAnswer : ConnectionEnd::CallerLeft);
    for (const auto& exchange : waiting) {
        if (!exchange->isAnswered_ && exchange->onLeave_)
            exchange->onLeave_();
    }
}

bool HttpServerConnection::hasCallerLeft()
{
    if (!server_)
        return true;
    pollfd state { socket_.native_handle(), POLLRDHUP, 0 };
    if (::poll(&state, 1, 0) <= 0)
        return false;
    // The end may lie behind more than is read while requests wait.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->leave(); });
    return true;
}

void HttpServerConnection::closeIfIdle(ConnectionEnd cause)
{
    const auto self = shared_from_this();
    if (server_ && isIdle())
        receive();
    if (server_ && isIdle())
        close(cause);
}

void HttpServerConnection::close(ConnectionEnd cause)
{
    if (!server_)
        return;
    const auto self = shared_from_this();
    std::exchange(server_, nullptr)->remove(self);
    timer_.cancel();
    std::error_code ignored;
    const size_t unreadBytes = buffer_.size() + socket_.available(ignored);
    // What came behind the last answer counts as not read, and callers send it again.
    const bool isLoss
        = !waiting_.empty() || isWriting_ || (unreadBytes > 0 && cause != ConnectionEnd::LastAnswer);
    if (isLoss && cause != ConnectionEnd::CallerLeft)
        logLoss(cause, unreadBytes);
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void HttpServerConnection::logLoss(ConnectionEnd cause, size_t unreadBytes) const
{
    log(LogLevel::Warning, "connection-cut",
        { { "cause", nameOf(cause) }, { "unanswered", waiting_.size() }, { "unreadBytes", unreadBytes },
            { "isInMessage", isInMessage_ }, { "isWriting", isWriting_ }, { "hasEnded", hasEnded_ } });
}

// Bounds the time for the rest of a request, or the time that the connection may stay idle.
void HttpServerConnection::armTimer()
{
    if (!server_)
        return;
    timer_.expires_after(isInMessage_ ? server_->limits_.headerTimeout : server_->limits_.idleTimeout);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->timeUp();
    });
}

void HttpServerConnection::timeUp()
{
    const auto isTimeUp
        = [this] { return server_ && asio::steady_timer::clock_type::now() >= timer_.expiry(); };
    // The timer may have been set anew after it had expired.
    if (!isTimeUp())
        return;
    if (!isInMessage_)
        return closeIfIdle(ConnectionEnd::Idle);
    const auto isOverdue
        = [this, &isTimeUp] { return isTimeUp() && isInMessage_ && waiting_.empty() && !isWriting_; };
    // The rest of the request may have arrived.
    while (isOverdue() && receive()) { }
    if (isOverdue())
        close(ConnectionEnd::Idle);
}

}
