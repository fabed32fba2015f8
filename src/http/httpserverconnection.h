#pragma once

#include "http/connectionchoice.h"
#include "http/httpserver.h"
#include "http/memoryguard.h"

#include <asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// Why the server closed a connection.
enum class CloseReason {
    LastAnswer, // The last answer of the connection has been written.
    CallerLeft,
    Idle, // Also if the rest of a request did not arrive in time.
    Drained,
    ServerStopped,
    MemoryFull, // The caller did not take its answer while others needed the memory.
    ConnectionLimit,
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

    // Counts an answer's body among the bytes that the process holds; null if it is not counted.
    std::shared_ptr<HeldBytes> holdAnswer(size_t bytes);

    ConnectionActivity activity() const;

    // Closes the connection in favour of another one, unless a request has arrived on it meanwhile.
    void closeForOther();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Answers that are written together.
    struct Output {
        std::string text; // Heads and small bodies.
        std::string body; // A large body, which follows the text.
        std::vector<std::shared_ptr<HeldBytes>> held;
        size_t written = 0;
    };

    void read();
    bool readAvailable();
    void parse();
    void startMessage();
    bool admitBody();
    bool growBody();
    bool reserveBody(size_t bytes);
    size_t bytesToParse(size_t available) const;
    void onRoomGranted();
    void onRoomRefused();
    void holdHead();
    HttpRequest takeHead();
    void dispatchRequest();
    void rejectRequest(int status);
    void answerAsLast(HttpRequest request, HttpResponse response);
    void dropMessage();
    void write(const std::shared_ptr<Output>& output);
    void onWritten(Output& output, size_t bytes);
    void handleDisconnect(CloseReason cause = CloseReason::CallerLeft);
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
    std::string caller_; // Identifies the caller whose share of the memory is used.
    std::shared_ptr<HeldBytes> bodyBytes_; // Of the request that is being read.
    size_t bodyRoom_ = 0; // The size up to which that request's body may be read.
    size_t wantedRoom_ = 0;
    bool isWaitingForRoom_ = false; // Nothing is read meanwhile.
    std::shared_ptr<HeldBytes> headBytes_; // Null while the heads of the connection's requests are small.
    std::deque<std::shared_ptr<HttpExchange>> pendingExchanges_;
    size_t pendingHeadBytes_ = 0; // Of their requests.
    TimePoint lastActivity_ = BootClock::now(); // When bytes were last read or written.
    bool hasCarriedRequest_ = false;
    bool isReading_ = false; // A wait for the socket to become readable is outstanding.
    bool isWriting_ = false;
    bool shouldCloseAfterWrite_ = false;
    bool isLastRequestRead_ = false; // Bytes that arrive after the last request are discarded.
    bool hasCallerAnnouncedClose_ = false; // The last request asks to close the connection after it.
    bool isLingering_ = false;
    bool isInMessage_ = false; // A part of a request has been read.
};

}
