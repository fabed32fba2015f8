#include "soak/keepalivecaller.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <utility>

namespace persimmonfield::soak {
namespace {

    namespace http = boost::beast::http;

    constexpr Milliseconds reconnectDelay { 30 };
    // Longer than the deadline of each request.
    constexpr Milliseconds responseTimeout { 5'000 };
    constexpr size_t maxPipelined = 4;

    bool isPipelinable(const HttpRequest& request)
    {
        return request.method == "GET";
    }

    HttpResponse responseFrom(http::response<http::string_body> message)
    {
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        return response;
    }

}

struct KeepAliveCaller::Connection {
    explicit Connection(asio::io_context& loop)
        : socket(loop)
    {
    }

    asio::ip::tcp::socket socket;
    std::array<char, 8'192> chunk {};
    std::string received;
    std::optional<http::response_parser<http::string_body>> parser;
    std::deque<InFlightRequest> inFlight;
    std::string outgoing; // Encoded bytes of the last `outgoingCount` requests in inFlight.
    size_t outgoingCount = 0;
    size_t bodySize = 0; // Body size of the last of these requests.
    int responseCount = 0;
    bool isClosed = false;
};

KeepAliveCaller::KeepAliveCaller(asio::io_context& loop, Options options)
    : loop_(loop)
    , timer_(loop)
    , options_(std::move(options))
    , random_(options_.seed)
{
}

Milliseconds KeepAliveCaller::randomDuration(int least, int most)
{
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
}

void KeepAliveCaller::connect()
{
    const auto connection = std::make_shared<Connection>(loop_);
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(options_.address.host), static_cast<uint16_t>(options_.address.port));
    connection->socket.async_connect(endpoint, [this, connection](std::error_code error) {
        if (!error) {
            std::error_code ignored;
            connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            read(connection);
            return send(connection);
        }
        reconnect();
    });
}

void KeepAliveCaller::reconnect()
{
    timer_.expires_after(reconnectDelay);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            connect();
    });
}

void KeepAliveCaller::scheduleSend(const ConnectionPtr& connection)
{
    timer_.expires_after(randomDuration(5, 250));
    timer_.async_wait([this, connection](std::error_code error) {
        if (!error && !connection->isClosed)
            send(connection);
    });
}

void KeepAliveCaller::send(const ConnectionPtr& connection)
{
    const TimePoint now = BootClock::now();
    if (!connection->inFlight.empty() && now - connection->inFlight.front().sentAt > responseTimeout)
        return timeOut(connection);
    const bool hasInFlightRequests = !connection->inFlight.empty();
    if (connection->inFlight.size() >= maxPipelined
        || (hasInFlightRequests && !isPipelinable(connection->inFlight.back().request)))
        return scheduleSend(connection);
    connection->outgoing.clear();
    connection->outgoingCount
        = random_() % 4 == 0 ? 1 + random_() % (maxPipelined - connection->inFlight.size()) : 1;
    const bool isPipelined = hasInFlightRequests || connection->outgoingCount > 1;
    for (size_t i = 0; i < connection->outgoingCount; ++i) {
        InFlightRequest each;
        each.request = options_.makeRequest(isPipelined);
        each.sentAt = now;
        connection->outgoing += encodeRequest(each.request);
        connection->inFlight.push_back(std::move(each));
    }
    connection->bodySize = connection->inFlight.back().request.body.size();
    write(connection, 0);
}

// Sends everything up to the middle of the last body in one write, and the rest of that body in pieces.
void KeepAliveCaller::write(const ConnectionPtr& connection, size_t from)
{
    const size_t body = connection->bodySize;
    const size_t left = connection->outgoing.size() - from;
    const bool isLast = body < 2 || left < body / 2;
    const size_t size = isLast ? left : left - body / 2 + (from > 0 ? body / 3 : 0);
    asio::async_write(connection->socket, asio::buffer(connection->outgoing.data() + from, size),
        [this, connection, sent = from + size](std::error_code error, size_t) {
            if (error || connection->isClosed)
                return;
            if (sent < connection->outgoing.size()) {
                timer_.expires_after(randomDuration(5, 60));
                return timer_.async_wait([this, connection, sent](std::error_code failure) {
                    if (!failure && !connection->isClosed)
                        write(connection, sent);
                });
            }
            // Some of these requests may have a response already.
            const size_t count = connection->inFlight.size();
            for (size_t i = count - std::min(count, connection->outgoingCount); i < count; ++i) {
                connection->inFlight[i].isFullySent = true;
                connection->inFlight[i].sentAt = BootClock::now();
            }
            scheduleSend(connection);
        });
}

void KeepAliveCaller::read(const ConnectionPtr& connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->chunk), [this, connection](std::error_code error, size_t size) {
            if (connection->isClosed)
                return;
            if (error)
                return close(connection, error.message());
            connection->received.append(connection->chunk.data(), size);
            parse(connection);
            if (!connection->isClosed)
                read(connection);
        });
}

void KeepAliveCaller::parse(const ConnectionPtr& connection)
{
    while (!connection->isClosed && !connection->received.empty()) {
        if (!connection->parser) {
            connection->parser.emplace();
            connection->parser->eager(true);
        }
        boost::beast::error_code error;
        const size_t used = connection->parser->put(boost::asio::buffer(connection->received), error);
        connection->received.erase(0, used);
        if (error && error != http::error::need_more)
            return close(connection, "what came is no answer: " + error.message());
        if (connection->parser->is_done())
            onResponse(connection);
        else if (error || used == 0)
            return;
    }
}

void KeepAliveCaller::onResponse(const ConnectionPtr& connection)
{
    const bool keepsAlive = connection->parser->get().keep_alive();
    const HttpResponse response = responseFrom(connection->parser->release());
    connection->parser.reset();
    if (connection->inFlight.empty())
        return close(connection, "a response without a request");
    const InFlightRequest first = std::move(connection->inFlight.front());
    connection->inFlight.pop_front();
    ++connection->responseCount;
    options_.onResponse(first.request, response);
    if (keepsAlive)
        return;
    for (InFlightRequest& each : connection->inFlight)
        each.isAfterClose = true;
    close(connection, "after a response with Connection: close");
}

void KeepAliveCaller::close(const ConnectionPtr& connection, const std::string& cause)
{
    connection->isClosed = true;
    std::error_code ignored;
    connection->socket.close(ignored);
    for (InFlightRequest& each : std::exchange(connection->inFlight, {})) {
        each.previousResponses = connection->responseCount;
        each.cause = cause;
        options_.onRequestLost(each);
    }
    reconnect();
}

void KeepAliveCaller::timeOut(const ConnectionPtr& connection)
{
    for (const InFlightRequest& each : std::exchange(connection->inFlight, {}))
        options_.onTimeout(each.request);
    close(connection, "response timed out");
}

}
