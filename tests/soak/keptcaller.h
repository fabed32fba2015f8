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

// A caller that goes on sending over one connection for as long as that is open, and opens the next one as
// soon as it is closed: single requests, pipelined ones, bodies in pieces.
class KeptCaller {
public:
    // A request whose connection ended before its answer was whole.
    struct Cut {
        HttpRequest request;
        TimePoint sentAt; // Its last byte.
        bool isWhole = false; // All of it was sent.
        bool isBehindClose = false; // An answer before it said Connection: close.
        int answersBefore = 0; // On the same connection.
        std::string cause;
    };

    struct Options {
        Address address;
        uint64_t seed = 0;
        std::function<HttpRequest(bool isPipelined)> makeRequest;
        std::function<void(const HttpRequest&, const HttpResponse&)> onAnswer;
        std::function<void(const Cut&)> onCut;
        std::function<void(const HttpRequest&)> onTimeout; // The caller has closed the connection itself.
    };

    KeptCaller(asio::io_context& loop, Options options);

    void start() { connect(); }

private:
    struct Connection;
    using Open = std::shared_ptr<Connection>;

    void connect();
    void reconnect();
    void pause(const Open& open);
    void send(const Open& open);
    void write(const Open& open, size_t from);
    void read(const Open& open);
    void parse(const Open& open);
    void answered(const Open& open);
    void end(const Open& open, const std::string& cause);
    void giveUp(const Open& open);
    Milliseconds between(int least, int most);

    asio::io_context& loop_;
    asio::steady_timer timer_;
    Options options_;
    std::mt19937_64 random_;
};

}
