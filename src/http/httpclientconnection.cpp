#include "http/httpclientconnection.h"

#include "http/tcpkeepalive.h"
#include "messages/answerhead.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <asio/write.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace persimmonfield {
namespace {

    namespace http = boost::beast::http;

    // Limit on buffered bytes that the parser has not consumed because their line is incomplete.
    constexpr size_t maxLineBytes = 16'384;
    // Limit on interim answers and late answers to other requests before the answer to a request.
    constexpr int maxSkippedAnswers = 16;
    // Bodies up to this size do not trigger the check of the total size, which visits all calls.
    constexpr size_t largeBodyBytes = 65'536;
    constexpr int firstInterimStatus = 100;
    constexpr int lastInterimStatus = 199;
    constexpr int statusSwitchingProtocols = 101;
    // An idle connection is closed this long before the server would close it.
    constexpr Milliseconds idleTimeoutMargin { 1'000 };

    // Why the head is not that of an answer, although it can be parsed; empty if it is one.
    std::string problemOf(const http::response<http::string_body>& head)
    {
        const int status = static_cast<int>(head.result_int());
        // No request asks to switch protocols.
        const bool isInterim = status >= firstInterimStatus && status <= lastInterimStatus
            && status != statusSwitchingProtocols;
        if (!isInterim && !isFinalStatus(status))
            return "the status " + std::to_string(status) + " is none";
        const auto length = head.find(http::field::content_length);
        const bool isList
            = length != head.end() && length->value().find(',') != boost::beast::string_view::npos;
        if (isList || head.count(http::field::content_length) > 1)
            return "it has more than one length";
        const auto coding = head.find(http::field::transfer_encoding);
        if (coding == head.end())
            return {};
        const std::string_view name(coding->value().data(), coding->value().size());
        const bool isKnown = head.count(http::field::transfer_encoding) == 1
            && absl::EqualsIgnoreCase(absl::string_view(name.data(), name.size()), "chunked");
        return isKnown ? std::string() : "its transfer coding is not known";
    }

    // Whether a line of a head or of trailers begins with a blank. The parser appends it to the line before
    // (obs-fold, RFC 9112, 5.2), although it may be a field whose name is not valid, such as a length.
    bool hasFoldedLine(std::string_view fields)
    {
        return fields.find("\n ") != std::string_view::npos || fields.find("\n\t") != std::string_view::npos;
    }

    HttpResponse toHttpResponse(http::response<http::string_body> message)
    {
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message) {
            response.headers.push_back({ std::string(field.name_string().data(), field.name_string().size()),
                std::string(field.value().data(), field.value().size()) });
        }
        response.body = std::move(message.body());
        return response;
    }

}

HttpClientConnection::HttpClientConnection(HttpClient& client)
    : client_(&client)
    , socket_(client.loop_)
    , timer_(client.loop_)
    , connectTimer_(client.loop_)
    , totalBodyBytes_(client.options_.totalBodyBytes)
    , idleTimeout_(client.options_.idleTimeout)
{
}

HttpClientConnection::~HttpClientConnection()
{
    countBody(0);
}

void HttpClientConnection::countBody(size_t size)
{
    *totalBodyBytes_ += size - countedBodySize_;
    countedBodySize_ = size;
}

void HttpClientConnection::start(
    HttpClient::CallId id, HttpRequest request, Duration timeout, HttpClient::Done done)
{
    callId_ = id;
    request_ = std::move(request);
    done_ = std::move(done);
    hasSent_ = false;
    isRequestWritten_ = false;
    isEndRead_ = false;
    connectionError_.clear();
    armDeadlineTimer(timeout);
    if (isConnected_)
        write();
    else
        connect();
}

void HttpClientConnection::connect()
{
    std::error_code error;
    const Address& address = client_->options_.address;
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.host, error), static_cast<uint16_t>(address.port));
    if (error) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
            self->finish(CallOutcome::NotSent, self->client_ ? error.message() : std::string());
        });
        return;
    }
    ++client_->connectionsOpened_;
    connectTimer_.expires_after(client_->options_.connectTimeout);
    connectTimer_.async_wait([weak = weak_from_this()](std::error_code failure) {
        const auto self = weak.lock();
        if (!failure && self && !self->isConnected_)
            self->finish(CallOutcome::NotSent, "the connection took too long");
    });
    socket_.async_connect(endpoint, [self = shared_from_this()](std::error_code failure) {
        if (!self->client_ || self->isIdle())
            return;
        self->connectTimer_.cancel();
        if (failure)
            return self->finish(CallOutcome::NotSent, failure.message());
        self->isConnected_ = true;
        std::error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->socket_.non_blocking(true, ignored);
        if (self->client_->options_.usesTcpKeepAlive)
            enableTcpKeepAlive(self->socket_);
        self->write();
    });
}

void HttpClientConnection::write()
{
    hasSent_ = true;
    skippedAnswers_ = 0;
    resetParser();
    auto head = std::make_shared<std::string>(encodeRequestHead(request_));
    const Body body = request_.body;
    const std::array<asio::const_buffer, 2> bytes { asio::buffer(*head), asio::buffer(body.text()) };
    isWriting_ = true;
    asio::async_write(socket_, bytes, [self = shared_from_this(), head, body](std::error_code error, size_t) {
        // A write error does not end the call: a server may answer and close before it has read the whole
        // request.
        self->isWriting_ = false;
        if (!error)
            self->isRequestWritten_ = true;
        else if (error != asio::error::broken_pipe)
            self->connectionError_ = error;
        if (self->isEndRead_ && self->client_ && !self->isIdle())
            self->onReadError(asio::error::eof);
    });
    read();
}

void HttpClientConnection::resetParser()
{
    countBody(0);
    isHeadChecked_ = false;
    parser_.emplace();
    // Stops after each part of the answer: the head, a piece of the body, the last chunk with the trailers.
    parser_->eager(false);
    parser_->body_limit(client_->options_.maxBodyBytes);
    parser_->skip(request_.method == "HEAD");
}

void HttpClientConnection::read()
{
    if (isReading_ || !client_)
        return;
    isReading_ = true;
    socket_.async_read_some(
        asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, size_t size) {
            self->isReading_ = false;
            if (self->client_)
                self->onRead(error, size);
        });
}

// Waits for input without reading it, so that hasNoUnreadInput() finds bytes that arrive while no call is in
// flight even before this wait is handled.
void HttpClientConnection::waitForInput()
{
    isReading_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
        self->isReading_ = false;
        if (!self->client_)
            return;
        // Input on an idle connection does not belong to any request.
        if (self->isIdle())
            return self->close();
        if (error)
            return self->onRead(error, 0);
        self->read();
    });
}

bool HttpClientConnection::hasNoUnreadInput()
{
    std::error_code error;
    char byte = 0;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

void HttpClientConnection::onRead(std::error_code error, size_t size)
{
    if (error)
        return onReadError(error);
    buffer_.append(chunk_.data(), size);
    parse();
}

void HttpClientConnection::parse()
{
    while (client_ && !isIdle() && !buffer_.empty()) {
        boost::beast::error_code error;
        const bool isInHead = !parser_->is_header_done();
        const size_t used = parser_->put(boost::asio::buffer(buffer_), error);
        const bool isInFields = isInHead || (parser_->is_done() && parser_->chunked());
        const bool isFolded = isInFields && hasFoldedLine({ buffer_.data(), used });
        buffer_.erase(0, used);
        if (error && error != http::error::need_more)
            return finish(CallOutcome::Lost, "what came is no answer: " + error.message());
        if (isFolded)
            return finish(
                CallOutcome::Lost, "what came is no answer: the name of a field begins with a blank");
        if (parser_->is_header_done() && !isHeadValid())
            return;
        if (parser_->is_done())
            onAnswerComplete();
        else if (error || used == 0)
            break;
    }
    if (client_ && !isIdle() && buffer_.size() > maxLineBytes)
        return finish(CallOutcome::Lost, "what came is no answer: a line has no end");
    if (client_ && bodySize() > largeBodyBytes) {
        countBody(bodySize());
        client_->limitTotalBodySize();
    }
    read();
}

// Checks the head of the answer once. If it is not one of HTTP/1.x, how long the answer is cannot be known,
// so the call ends and the connection is closed.
bool HttpClientConnection::isHeadValid()
{
    if (std::exchange(isHeadChecked_, true))
        return true;
    const std::string problem = problemOf(parser_->get());
    if (!problem.empty())
        finish(CallOutcome::Lost, "what came is no answer: " + problem);
    return problem.empty();
}

// An answer without a length is complete if the connection is closed in order (eof), but not if it fails. The
// kernel reports a failure only once: if the write got it, the read gets eof. The handlers of the two are
// called in either order, so an eof counts only once the write has ended. Nothing more needs to be written.
void HttpClientConnection::onReadError(std::error_code error)
{
    if (error == asio::error::eof && isWriting_ && parser_->is_header_done()) {
        isEndRead_ = true;
        std::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
    }
    if (error == asio::error::eof && connectionError_)
        error = connectionError_;
    if (error == asio::error::eof && parser_->is_header_done()) {
        boost::beast::error_code failure;
        parser_->put_eof(failure);
        if (!failure && parser_->is_done()) {
            shouldCloseAfterCall_ = true;
            return onAnswerComplete();
        }
    }
    finish(CallOutcome::Lost, error.message());
}

void HttpClientConnection::onAnswerComplete()
{
    const bool keepsAlive = parser_->get().keep_alive();
    HttpResponse response = toHttpResponse(parser_->release());
    countBody(0);
    const auto& isAnswerTo = client_->options_.isAnswerTo;
    const bool isInterim = !isFinalStatus(response.status);
    const bool isForOtherRequest = isAnswerTo && !isInterim && !isAnswerTo(request_, response);
    if (isInterim || isForOtherRequest) {
        shouldCloseAfterCall_ = shouldCloseAfterCall_ || isForOtherRequest;
        if (isForOtherRequest && !keepsAlive)
            return finish(CallOutcome::Lost, "an answer to another request came");
        if (++skippedAnswers_ > maxSkippedAnswers)
            return finish(CallOutcome::Lost, "too many interim answers, or answers to other requests, came");
        return resetParser();
    }
    applyKeepAliveTimeout(response);
    shouldCloseAfterCall_ = shouldCloseAfterCall_ || !keepsAlive || !isRequestWritten_ || !buffer_.empty();
    finish(CallOutcome::Answered, {}, std::move(response));
}

void HttpClientConnection::applyKeepAliveTimeout(const HttpResponse& response)
{
    const std::string* value = response.header("Keep-Alive");
    if (!value)
        return;
    const size_t at = value->find("timeout=");
    int seconds = 0;
    if (at == std::string::npos)
        return;
    const std::string digits = value->substr(at + std::string("timeout=").size());
    if (absl::SimpleAtoi(digits.substr(0, digits.find_first_not_of("0123456789")), &seconds))
        idleTimeout_ = std::min<Milliseconds>(
            idleTimeout_, std::max(std::chrono::seconds(seconds) - idleTimeoutMargin, Milliseconds(0)));
}

void HttpClientConnection::finish(CallOutcome outcome, std::string detail, HttpResponse response)
{
    if (isIdle())
        return;
    const auto self = shared_from_this();
    const auto done = std::exchange(done_, nullptr);
    request_.body = {};
    timer_.cancel();
    client_->calls_.erase(callId_);
    if (outcome == CallOutcome::Answered && !shouldCloseAfterCall_) {
        client_->release(self);
        armIdleTimer();
        waitForInput();
    } else {
        if (outcome != CallOutcome::Answered && client_->options_.usesTcpKeepAlive)
            client_->closeIdle();
        close();
    }
    done({ outcome, std::move(response), std::move(detail) });
}

void HttpClientConnection::armDeadlineTimer(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this(), id = callId_](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->isIdle() || self->callId_ != id)
            return;
        self->finish(self->hasSent_ ? CallOutcome::TimedOut : CallOutcome::NotSent, "no answer came in time");
    });
}

void HttpClientConnection::armIdleTimer()
{
    timer_.expires_after(idleTimeout_);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->isIdle())
            self->close();
    });
}

void HttpClientConnection::abort(const std::string& detail)
{
    if (isIdle())
        close();
    else
        finish(hasSent_ ? CallOutcome::Lost : CallOutcome::NotSent, detail);
}

void HttpClientConnection::close()
{
    if (!client_)
        return;
    std::exchange(client_, nullptr)->remove(*this);
    done_ = nullptr;
    timer_.cancel();
    connectTimer_.cancel();
    std::error_code ignored;
    socket_.close(ignored);
}

}
