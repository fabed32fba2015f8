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

// One connection to a server, with at most one request under way.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    explicit HttpClientConnection(HttpClient& client);

    void start(HttpClient::CallId id, HttpRequest request, Duration timeout, HttpClient::Done done);

    // Closes the connection without telling anybody.
    void close();

    // Closes the connection and ends the call under way, if there is one, as lost.
    void abort(const std::string& detail);

    bool isIdle() const { return !done_; }
    bool hasSent() const { return hasSent_; }

    // Whether nothing is there to be read, neither bytes nor the connection's end, handled or not.
    bool isQuiet();

    HttpClient::CallId callId() const { return callId_; }

    // Bytes received of the body of the present answer.
    size_t bodySize() const { return parser_ ? parser_->get().body().size() : 0; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void awaitBytes();
    void received(std::error_code error, size_t size);
    void parse();
    void ended(std::error_code error);
    void answered();
    void finish(CallOutcome outcome, std::string detail, HttpResponse response = {});
    void beginAnswer();
    void armDeadline(Duration timeout);
    void armIdle();
    void noteKeepAlive(const HttpResponse& response);

    HttpClient* client_; // Null once closed.
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer connectTimer_;
    std::array<char, 8'192> chunk_;
    std::string buffer_;
    std::optional<Parser> parser_;
    HttpClient::CallId callId_ = 0;
    HttpRequest request_;
    HttpClient::Done done_; // Null while no call is under way.
    Milliseconds idleTimeout_;
    bool isConnected_ = false;
    bool isReading_ = false;
    bool hasSent_ = false;
    bool isWritten_ = false;
    int passedOver_ = 0; // Interim answers and answers to other requests since the request was sent.
    bool isTainted_ = false; // Carried an answer of another request.
};

}
