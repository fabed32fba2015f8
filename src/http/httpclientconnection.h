#pragma once

#include "http/httpclient.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>
#include <string>

namespace persimmonfield {

// One connection to a server, with at most one request in flight.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    explicit HttpClientConnection(HttpClient& client);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection&) = delete;
    HttpClientConnection& operator=(const HttpClientConnection&) = delete;

    void start(HttpClient::CallId id, HttpRequest request, Duration timeout, HttpClient::Done done);

    // Closes the connection without calling `done`.
    void close();

    // Closes the connection. A call in flight ends as Lost, or as NotSent if nothing was sent.
    void abort(const std::string& detail);

    // Closes the connection once the call in flight has ended.
    void closeAfterCall() { shouldCloseAfterCall_ = true; }

    bool isIdle() const { return !done_; }
    bool hasSent() const { return hasSent_; }

    // Whether the socket holds neither unread bytes nor the end of the stream, even if the event loop has not
    // reported them yet.
    bool hasNoUnreadInput();

    HttpClient::CallId callId() const { return callId_; }

    // Bytes received so far of the current answer's body.
    size_t bodySize() const { return parser_ ? parser_->get().body().size() : 0; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void waitForInput();
    void onRead(std::error_code error, size_t size);
    void parse();
    bool isHeadValid();
    void onReadError(std::error_code error);
    void onAnswerComplete();
    void finish(CallOutcome outcome, std::string detail, HttpResponse response = {});
    void resetParser();
    // Counts the bytes of the current answer's body among those of all bodies.
    void countBody(size_t size);
    void armDeadlineTimer(Duration timeout);
    void armIdleTimer();
    void applyKeepAliveTimeout(const HttpResponse& response);

    HttpClient* client_; // Null once closed.
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer connectTimer_;
    std::array<char, 8'192> chunk_;
    std::string buffer_;
    std::optional<Parser> parser_;
    std::shared_ptr<std::atomic<size_t>> totalBodyBytes_;
    size_t countedBodySize_ = 0;
    HttpClient::CallId callId_ = 0;
    HttpRequest request_;
    HttpClient::Done done_; // Null while no call is in flight.
    Milliseconds idleTimeout_;
    bool isConnected_ = false;
    bool isReading_ = false;
    bool hasSent_ = false;
    bool isRequestWritten_ = false;
    bool isWriting_ = false; // The handler of the write has not been called yet.
    bool isEndRead_ = false; // The end of the stream was read while the request was being written.
    // The error that ended the connection, if writing the request has met it. Not set if the server closed
    // its side first (broken_pipe).
    std::error_code connectionError_;
    bool isHeadChecked_ = false; // Of the current answer.
    int skippedAnswers_ = 0; // Interim answers and answers to other requests since the request was sent.
    bool shouldCloseAfterCall_ = false; // Must not be reused, for example after an answer to another request.
};

}
