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

class HttpServerConnection;

// What a caller may send, and how long it may take or stay idle.
struct HttpServerLimits {
    size_t headerBytes = 16'384;
    size_t bodyBytes = 1'048'576;
    Milliseconds headerTimeout { 3'000 };
    Milliseconds idleTimeout { 15'000 };
};

// One request of a caller and the place for its answer. Used on the loop's thread.
class HttpExchange {
public:
    HttpExchange(std::weak_ptr<HttpServerConnection> connection, HttpRequest request, TimePoint arrived);

    const HttpRequest& request() const { return request_; }
    TimePoint arrived() const { return arrived_; }

    // Answers the request; only the first call counts. Requests of one connection are answered in the order
    // in which they came.
    void respond(HttpResponse response);

    // Whether nobody waits for the answer any more. Looks at the connection itself, past what was read of it.
    bool hasCallerLeft() const;

    // Called once when the caller has left before the answer.
    void setLeaveHandler(std::function<void()> handler) { onLeave_ = std::move(handler); }

private:
    friend class HttpServerConnection;

    std::weak_ptr<HttpServerConnection> connection_;
    HttpRequest request_;
    TimePoint arrived_;
    bool isAnswered_ = false;
    bool isLastOnConnection_ = false; // The caller asked to close after it.
    HttpResponse response_;
    std::function<void()> onLeave_;
};

// Listens on an address and reads requests, driven by one event loop: no thread per connection. A caller's
// leaving is noticed while its requests wait.
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>& exchange)>;

    HttpServer(asio::io_context& loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Unavailable when the address cannot be listened on.
    absl::Status listen(const Address& address);

    // Holds for requests that are read from now on.
    void setLimits(const HttpServerLimits& limits) { limits_ = limits; }

    // From now on each answer ends its connection. Connections that are idle stay open: what callers send on
    // them is still answered.
    void drain() { isDraining_ = true; }

    // First stops listening; called again, closes the connections on which no request is waiting or has
    // arrived. To be repeated until no connection is open: the others close after their answers.
    void finish();

    size_t openConnections() const { return connections_.size(); }

    // Stops listening and closes all connections.
    void stop();

private:
    friend class HttpServerConnection;

    void accept();
    void accepted(asio::ip::tcp::socket socket);
    bool stopListening();
    void pauseAccepting();
    void remove(const std::shared_ptr<HttpServerConnection>& connection) { connections_.erase(connection); }

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    Handler handler_;
    HttpServerLimits limits_;
    bool isDraining_ = false;
    bool isStopped_ = false;
    std::set<std::shared_ptr<HttpServerConnection>> connections_;
};

}
