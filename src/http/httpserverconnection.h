#pragma once

#include "http/httpserver.h"

#include <asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <string>

namespace persimmonfield {

// Why the server closed a connection.
enum class CloseReason {
    LastAnswer, // The last answer of the connection has been written.
    CallerLeft,
    Idle, // Also if the rest of a request did not arrive in time.
    Drained,
    ServerStopped,
};

// One connection of a caller. Reads pipelined requests, writes their answers in the order of the requests,
// and notifies each unanswered exchange when the caller disconnects.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
public:
    HttpServerConnection(HttpServer& server, asio::ip::tcp::socket socket);

    void start();

    // Closes the connection unless a request on it is unanswered or has arrived, even in part.
    void closeIfIdle(CloseReason cause);

    void close(CloseReason cause);

    // Whether the caller has closed the connection or it has failed, even if that has not been read from the
    // socket yet.
    bool hasCallerDisconnected();

    // Writes the answers that are ready. Called when an exchange has got its answer.
    void flush();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    bool readAvailable();
    void parse();
    void dispatchRequest();
    void rejectRequest(int status);
    void write(std::string bytes);
    void handleDisconnect();
    void startLingeringClose();
    void armTimer();
    void onTimeout();
    bool isIdle() const { return pendingExchanges_.empty() && !isInMessage_ && !isWriting_ && !isLingering_; }
    bool canReadMore() const;
    void logDataLoss(CloseReason cause, size_t unreadBytes) const;

    HttpServer* server_; // Null once closed.
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string buffer_; // Bytes that were read but not parsed yet.
    std::optional<Parser> parser_;
    std::deque<std::shared_ptr<HttpExchange>> pendingExchanges_;
    bool isReading_ = false; // A wait for the socket to become readable is outstanding.
    bool isWriting_ = false;
    bool shouldCloseAfterWrite_ = false;
    bool isLastRequestRead_ = false; // Bytes that arrive after the last request are discarded.
    bool hasCallerAnnouncedClose_ = false; // The last request asks to close the connection after it.
    bool isLingering_ = false;
    bool isInMessage_ = false; // A part of a request has been read.
};

}
