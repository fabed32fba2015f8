#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace persimmonfield::soak {

// Sends requests over one keep-alive connection until the other side closes it, then opens the next one.
// Sends single and pipelined requests, and splits bodies into several writes.
class KeepAliveCaller {
public:
    // A request without a complete response; it is lost if its connection is closed first.
    struct InFlightRequest {
        HttpRequest request;
        TimePoint sentAt; // When its last byte was sent.
        bool isFullySent = false;
        bool isAfterClose = false; // An earlier response on the connection had Connection: close.
        int previousResponses = 0; // Responses received before on the same connection.
        std::string cause;
    };

    struct Options {
        Address address;
        uint64_t seed = 0;
        std::function<HttpRequest(bool isPipelined)> makeRequest;
        std::function<void(const HttpRequest&, const HttpResponse&)> onResponse;
        std::function<void(const InFlightRequest&)> onRequestLost;
        std::function<void(const HttpRequest&)> onTimeout; // The caller closes the connection itself.
    };

    KeepAliveCaller(asio::io_context& loop, Options options);

    void start() { connect(); }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void connect();
    void reconnect();
    void scheduleSend(const ConnectionPtr& connection);
    void send(const ConnectionPtr& connection);
    void write(const ConnectionPtr& connection, size_t from);
    void read(const ConnectionPtr& connection);
    void parse(const ConnectionPtr& connection);
    void onResponse(const ConnectionPtr& connection);
    void close(const ConnectionPtr& connection, const std::string& cause);
    void timeOut(const ConnectionPtr& connection);
    Milliseconds randomDuration(int least, int most);

    asio::io_context& loop_;
    asio::steady_timer timer_;
    Options options_;
    std::mt19937_64 random_;
};

}
