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
    // Heads of unanswered requests of one connection. While there are more, no further request is parsed.
    constexpr size_t maxPendingHeadBytes = 65'536;
    // A body up to this size is copied behind its head, so that they are sent together.
    constexpr size_t smallAnswerBytes = 16'384;
    // How long bytes that the caller sends after the last answer are read and discarded.
    constexpr Milliseconds lingerTimeout { 1'000 };
    constexpr int statusBadRequest = 400;
    constexpr int statusTooLarge = 413;
    constexpr int statusHeadersTooLarge = 431;
    constexpr int statusBadGateway = 502;

    HttpRequest toHttpRequest(
        http::request<http::string_body> message, std::shared_ptr<HeldBytes> bodyBytes = nullptr)
    {
        HttpRequest request;
        request.method = std::string(message.method_string().data(), message.method_string().size());
        request.target = std::string(message.target().data(), message.target().size());
        for (const auto& field : message) {
            request.headers.push_back({ std::string(field.name_string().data(), field.name_string().size()),
                std::string(field.value().data(), field.value().size()) });
        }
        if (!message.body().empty())
            request.body = Body(std::move(message.body()), std::move(bodyBytes));
        return request;
    }

    size_t headSizeOf(const HttpRequest& request)
    {
        size_t size = request.method.size() + request.target.size();
        for (const peer::HeaderField& field : request.headers)
            size += field.name.size() + field.value.size();
        return size;
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
        case CloseReason::MemoryFull:
            return "memory-full";
        case CloseReason::ConnectionLimit:
            return "connection-limit";
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
    if (server_->guard_)
        caller_ = socket_.remote_endpoint(ignored).address().to_string();
    armTimer();
    read();
}

bool HttpServerConnection::canReadMore() const
{
    return server_ && !isLastRequestRead_ && !isWaitingForRoom_
        && pendingExchanges_.size() < maxPipelinedRequests && pendingHeadBytes_ <= maxPendingHeadBytes;
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
    if (!isLastRequestRead_) {
        buffer_.append(chunk.data(), size);
        lastActivity_ = BootClock::now();
    }
    parse();
    return true;
}

// Parses the buffered bytes until maxPipelinedRequests requests are unanswered, or there is no room for a
// body.
void HttpServerConnection::parse()
{
    size_t used = 0;
    while (canReadMore() && used < buffer_.size()) {
        if (!parser_)
            startMessage();
        const bool wasHeadDone = parser_->is_header_done();
        const size_t available = bytesToParse(buffer_.size() - used);
        if (available == 0) {
            if (!growBody())
                break;
            continue;
        }
        boost::beast::error_code error;
        const size_t parsed = parser_->put(boost::asio::buffer(buffer_.data() + used, available), error);
        used += parsed;
        const bool needsMore = error == http::error::need_more;
        if (error && !needsMore)
            return rejectRequest(statusFor(error));
        if (bodyBytes_)
            bodyBytes_->recordProgress(parsed);
        const bool wasInMessage = std::exchange(isInMessage_, true);
        if (!wasHeadDone && parser_->is_header_done() && !parser_->is_done() && !admitBody())
            break;
        if (parser_->is_done())
            dispatchRequest();
        else if (!wasInMessage)
            armTimer();
        if (!needsMore || parsed > 0)
            continue;
        // The parser may need more bytes of the buffer than there was room for.
        const bool hasMore = available < buffer_.size() - used;
        if (!hasMore || !growBody())
            break;
    }
    if (isLastRequestRead_ || !server_)
        buffer_.clear();
    buffer_.erase(0, used);
    if (buffer_.empty())
        buffer_.shrink_to_fit();
    // The parser limits the size of headers and bodies, but not of chunk extensions and trailers.
    if (canReadMore() && buffer_.size() > server_->limits_.headerBytes)
        return rejectRequest(statusHeadersTooLarge);
    holdHead();
}

void HttpServerConnection::startMessage()
{
    parser_.emplace();
    // Stops after the head, so that room for the body is asked for before any of it is read.
    parser_->eager(false);
    parser_->header_limit(static_cast<uint32_t>(server_->limits_.headerBytes));
    parser_->body_limit(server_->limits_.bodyBytes);
    bodyRoom_ = 0;
}

// The head of the request that is being read. Its body is dropped.
HttpRequest HttpServerConnection::takeHead()
{
    HttpRequest head = toHttpRequest(parser_->release());
    head.body = {};
    return head;
}

void HttpServerConnection::dispatchRequest()
{
    isInMessage_ = false;
    hasCarriedRequest_ = true;
    const bool isLastRequest = !parser_->get().keep_alive();
    if (bodyBytes_) {
        bodyBytes_->set(parser_->get().body().size());
        bodyBytes_->keep();
    }
    auto exchange = std::make_shared<HttpExchange>(
        weak_from_this(), toHttpRequest(parser_->release(), std::move(bodyBytes_)), BootClock::now());
    bodyBytes_ = nullptr;
    parser_.reset();
    exchange->headBytes_ = headSizeOf(exchange->request_);
    pendingHeadBytes_ += exchange->headBytes_;
    exchange->isLastOnConnection_ = isLastRequest;
    isLastRequestRead_ = isLastRequest;
    hasCallerAnnouncedClose_ = isLastRequest;
    pendingExchanges_.push_back(exchange);
    timer_.cancel();
    if (server_->guard_ && server_->guard_->isFull())
        return exchange->respond(server_->refuse_(exchange->request_));
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
    HttpResponse response;
    response.status = status;
    answerAsLast({}, std::move(response));
}

void HttpServerConnection::answerAsLast(HttpRequest request, HttpResponse response)
{
    dropMessage();
    isLastRequestRead_ = true;
    auto exchange = std::make_shared<HttpExchange>(weak_from_this(), std::move(request), BootClock::now());
    exchange->isLastOnConnection_ = true;
    pendingExchanges_.push_back(exchange);
    exchange->respond(std::move(response));
}

// Forgets the request that is being read.
void HttpServerConnection::dropMessage()
{
    isInMessage_ = false;
    isWaitingForRoom_ = false;
    timer_.cancel();
    parser_.reset();
    bodyBytes_.reset();
    buffer_ = std::string();
}

void HttpServerConnection::flush()
{
    if (!server_ || isWriting_)
        return;
    const auto output = std::make_shared<Output>();
    while (!pendingExchanges_.empty() && pendingExchanges_.front()->isAnswered_ && !shouldCloseAfterWrite_
        && output->body.empty()) {
        const auto exchange = std::move(pendingExchanges_.front());
        pendingExchanges_.pop_front();
        pendingHeadBytes_ -= exchange->headBytes_;
        // Draining closes the connection only after the pipelined requests that were read after this one have
        // been answered, too.
        const bool isDrained = server_->isDraining_ && pendingExchanges_.empty();
        shouldCloseAfterWrite_ = exchange->isLastOnConnection_ || isDrained;
        isLastRequestRead_ = isLastRequestRead_ || shouldCloseAfterWrite_;
        const ResponseEncoding encoding { shouldCloseAfterWrite_, exchange->request_.method == "HEAD" };
        HttpResponse& response = exchange->response_;
        output->text += encodeResponseHead(response, encoding);
        if (!sendsBody(response, encoding))
            continue;
        if (response.body.size() <= smallAnswerBytes)
            output->text += response.body;
        else
            output->body = std::move(response.body);
        if (exchange->answerBytes_)
            output->held.push_back(std::move(exchange->answerBytes_));
    }
    if (!output->text.empty())
        write(output);
}

void HttpServerConnection::write(const std::shared_ptr<Output>& output)
{
    isWriting_ = true;
    lastActivity_ = BootClock::now();
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(output->text),
        asio::buffer(output->body) };
    const auto condition = [self = shared_from_this(), output](const std::error_code& error, size_t written) {
        self->onWritten(*output, written);
        return asio::transfer_all()(error, written);
    };
    asio::async_write(
        socket_, buffers, condition, [self = shared_from_this(), output](std::error_code error, size_t) {
            self->isWriting_ = false;
            output->held.clear();
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

// Called after each part of the output that the kernel has taken.
void HttpServerConnection::onWritten(Output& output, size_t bytes)
{
    const size_t more = bytes - std::exchange(output.written, bytes);
    if (more > 0)
        lastActivity_ = BootClock::now();
    for (const auto& held : output.held)
        held->recordProgress(more);
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
void HttpServerConnection::handleDisconnect(CloseReason cause)
{
    auto waiting = std::move(pendingExchanges_);
    pendingExchanges_.clear();
    close(isLingering_ ? CloseReason::LastAnswer : cause);
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
    bodyBytes_.reset();
    headBytes_.reset();
    std::error_code ignored;
    const size_t unreadBytes = buffer_.size() + socket_.available(ignored);
    // Requests that arrive after the last answer count as unread; callers send them again.
    const bool isDataLost
        = !pendingExchanges_.empty() || isWriting_ || (unreadBytes > 0 && cause != CloseReason::LastAnswer);
    const bool isLimit = cause == CloseReason::MemoryFull || cause == CloseReason::ConnectionLimit;
    if (isDataLost && cause != CloseReason::CallerLeft && !isLimit)
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
