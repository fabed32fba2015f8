#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace persimmonfield {

class HeldBytes;
class HttpServerConnection;
class MemoryGuard;

// Limits on the size of a caller's requests, on the time to receive one, and on the time a connection may be
// idle.
struct HttpServerLimits {
    size_t headerBytes = 16'384;
    size_t bodyBytes = 1'048'576;
    Milliseconds headerTimeout { 3'000 };
    Milliseconds idleTimeout { 15'000 };
};

// One request of a caller together with its answer. Used only on the event loop's thread.
class HttpExchange {
public:
    HttpExchange(std::weak_ptr<HttpServerConnection> connection, HttpRequest request, TimePoint arrivedAt);

    const HttpRequest& request() const { return request_; }
    TimePoint arrivedAt() const { return arrivedAt_; }

    // Answers the request; only the first call has an effect. The answers on one connection are written in
    // the order of their requests.
    void respond(HttpResponse response);

    // Whether the caller has disconnected. Checks the socket itself, so this holds even if bytes before the
    // end of the stream have not been read yet.
    bool hasCallerDisconnected() const;

    // The handler is called once if the caller disconnects before it is answered.
    void setDisconnectHandler(std::function<void()> handler) { onDisconnect_ = std::move(handler); }

private:
    friend class HttpServerConnection;

    std::weak_ptr<HttpServerConnection> connection_;
    HttpRequest request_;
    TimePoint arrivedAt_;
    size_t headBytes_ = 0; // Of the request.
    bool isAnswered_ = false;
    bool isLastOnConnection_ = false; // The connection is closed after the answer.
    HttpResponse response_;
    std::shared_ptr<HeldBytes> answerBytes_;
    std::function<void()> onDisconnect_;
};

// HTTP/1.1 server that runs on one event loop, without a thread per connection. Detects that a caller has
// disconnected while its requests are unanswered.
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>& exchange)>;

    HttpServer(asio::io_context& loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Returns an Unavailable error if the server cannot listen on the address.
    absl::Status listen(const Address& address);

    // Applies to requests that are read from now on.
    void setLimits(const HttpServerLimits& limits) { limits_ = limits; }

    // Bounds the memory for requests and answers by that of the guard, and the number of connections. A
    // request for which there is no room is answered with what `refuse` returns for its head; it must say
    // that the request was not run.
    using Refusal = std::function<HttpResponse(const HttpRequest& head)>;
    void setGuard(std::shared_ptr<MemoryGuard> guard, size_t maxConnections, Refusal refuse);

    // From now on a connection is closed after an answer that leaves no request on it unanswered. Connections
    // that are idle stay open: requests that callers send on them are still answered.
    void drain() { isDraining_ = true; }

    // The first call stops listening. Each later call closes the connections that have no unanswered request
    // and on which no request has arrived. Call it repeatedly until no connection is open; the other
    // connections are closed after their answers.
    void finish();

    size_t openConnections() const { return connections_.size(); }

    // Stops listening and closes all connections.
    void stop();

private:
    friend class HttpServerConnection;

    void accept();
    void addConnection(asio::ip::tcp::socket socket);
    bool makeRoomForConnection();
    bool stopListening();
    void retryAcceptLater();
    void remove(const std::shared_ptr<HttpServerConnection>& connection) { connections_.erase(connection); }

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    Handler handler_;
    HttpServerLimits limits_;
    std::shared_ptr<MemoryGuard> guard_; // Null if memory and connections are not bounded.
    size_t maxConnections_ = 0;
    Refusal refuse_;
    bool isDraining_ = false;
    bool isStopped_ = false;
    std::set<std::shared_ptr<HttpServerConnection>> connections_;
};

}
