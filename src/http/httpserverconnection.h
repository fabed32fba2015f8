#pragma once

#include "http/httpserver.h"

#include <asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <string>

namespace persimmonfield {

// Why the server ended a connection.
enum class ConnectionEnd {
    LastAnswer, // The answer that was to be the last one is written.
    CallerLeft,
    Idle, // Also when the rest of a request did not come in time.
    Drained,
    ServerStopped,
};

// One connection of a caller: reads requests ahead, answers them in their order, and tells each waiting one
// when the caller has left.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
public:
    HttpServerConnection(HttpServer& server, asio::ip::tcp::socket socket);

    void start();

    // Closes the connection when no request is waiting on it or has arrived.
    void closeIfIdle(ConnectionEnd cause);

    void close(ConnectionEnd cause);

    // Whether the caller has closed the connection or it broke, even if that was not read yet.
    bool hasCallerLeft();

    // An exchange was given its answer.
    void flush();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    bool receive();
    void parse();
    void accept();
    void refuse(int status);
    void write(std::string bytes);
    void leave();
    void linger();
    void armTimer();
    void timeUp();
    bool isIdle() const { return waiting_.empty() && !isInMessage_ && !isWriting_ && !isLingering_; }
    bool mayReadOn() const;
    void logLoss(ConnectionEnd cause, size_t unreadBytes) const;

    HttpServer* server_; // Null once closed.
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string buffer_; // Read and not parsed yet.
    std::optional<Parser> parser_;
    std::deque<std::shared_ptr<HttpExchange>> waiting_;
    bool isReading_ = false; // Waits until something arrives.
    bool isWriting_ = false;
    bool shouldCloseAfterWrite_ = false;
    bool hasEnded_ = false; // No further request is read.
    bool sendsNoMore_ = false; // The caller said so.
    bool isLingering_ = false;
    bool isInMessage_ = false; // A part of a request was read.
};

}
