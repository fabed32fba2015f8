#include "soak/keptcaller.h"

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

    constexpr Milliseconds reconnectPause { 30 };
    // Past the deadline of each request.
    constexpr Milliseconds patience { 5'000 };
    constexpr size_t mostPipelined = 4;

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

struct KeptCaller::Connection {
    explicit Connection(asio::io_context& loop)
        : socket(loop)
    {
    }

    asio::ip::tcp::socket socket;
    std::array<char, 8'192> chunk {};
    std::string received;
    std::optional<http::response_parser<http::string_body>> parser;
    std::deque<Cut> waiting;
    std::string outgoing; // Of the last requests in waiting.
    size_t outgoingCount = 0;
    size_t bodySize = 0; // Of the last one.
    int answers = 0;
    bool isOver = false;
};

KeptCaller::KeptCaller(asio::io_context& loop, Options options)
    : loop_(loop)
    , timer_(loop)
    , options_(std::move(options))
    , random_(options_.seed)
{
}

Milliseconds KeptCaller::between(int least, int most)
{
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
}

void KeptCaller::connect()
{
    const auto open = std::make_shared<Connection>(loop_);
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(options_.address.host), static_cast<uint16_t>(options_.address.port));
    open->socket.async_connect(endpoint, [this, open](std::error_code error) {
        if (!error) {
            std::error_code ignored;
            open->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            read(open);
            return send(open);
        }
        reconnect();
    });
}

void KeptCaller::reconnect()
{
    timer_.expires_after(reconnectPause);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            connect();
    });
}

void KeptCaller::pause(const Open& open)
{
    timer_.expires_after(between(5, 250));
    timer_.async_wait([this, open](std::error_code error) {
        if (!error && !open->isOver)
            send(open);
    });
}

void KeptCaller::send(const Open& open)
{
    const TimePoint now = BootClock::now();
    if (!open->waiting.empty() && now - open->waiting.front().sentAt > patience)
        return giveUp(open);
    const bool isBehindOthers = !open->waiting.empty();
    if (open->waiting.size() >= mostPipelined
        || (isBehindOthers && !isPipelinable(open->waiting.back().request)))
        return pause(open);
    open->outgoing.clear();
    open->outgoingCount = random_() % 4 == 0 ? 1 + random_() % (mostPipelined - open->waiting.size()) : 1;
    const bool isPipelined = isBehindOthers || open->outgoingCount > 1;
    for (size_t i = 0; i < open->outgoingCount; ++i) {
        Cut each;
        each.request = options_.makeRequest(isPipelined);
        each.sentAt = now;
        open->outgoing += encodeRequest(each.request);
        open->waiting.push_back(std::move(each));
    }
    open->bodySize = open->waiting.back().request.body.size();
    write(open, 0);
}

// Bodies are sent in pieces, the rest at once.
void KeptCaller::write(const Open& open, size_t from)
{
    const size_t body = open->bodySize;
    const size_t left = open->outgoing.size() - from;
    const bool isLast = body < 2 || left < body / 2;
    const size_t size = isLast ? left : left - body / 2 + (from > 0 ? body / 3 : 0);
    asio::async_write(open->socket, asio::buffer(open->outgoing.data() + from, size),
        [this, open, sent = from + size](std::error_code error, size_t) {
            if (error || open->isOver)
                return;
            if (sent < open->outgoing.size()) {
                timer_.expires_after(between(5, 60));
                return timer_.async_wait([this, open, sent](std::error_code failure) {
                    if (!failure && !open->isOver)
                        write(open, sent);
                });
            }
            // Some of them may be answered already.
            const size_t waiting = open->waiting.size();
            for (size_t i = waiting - std::min(waiting, open->outgoingCount); i < waiting; ++i) {
                open->waiting[i].isWhole = true;
                open->waiting[i].sentAt = BootClock::now();
            }
            pause(open);
        });
}

void KeptCaller::read(const Open& open)
{
    open->socket.async_read_some(asio::buffer(open->chunk), [this, open](std::error_code error, size_t size) {
        if (open->isOver)
            return;
        if (error)
            return end(open, error.message());
        open->received.append(open->chunk.data(), size);
        parse(open);
        if (!open->isOver)
            read(open);
    });
}

void KeptCaller::parse(const Open& open)
{
    while (!open->isOver && !open->received.empty()) {
        if (!open->parser) {
            open->parser.emplace();
            open->parser->eager(true);
        }
        boost::beast::error_code error;
        const size_t used = open->parser->put(boost::asio::buffer(open->received), error);
        open->received.erase(0, used);
        if (error && error != http::error::need_more)
            return end(open, "what came is no answer: " + error.message());
        if (open->parser->is_done())
            answered(open);
        else if (error || used == 0)
            return;
    }
}

void KeptCaller::answered(const Open& open)
{
    const bool keepsAlive = open->parser->get().keep_alive();
    const HttpResponse response = responseFrom(open->parser->release());
    open->parser.reset();
    if (open->waiting.empty())
        return end(open, "an answer without a request");
    const Cut first = std::move(open->waiting.front());
    open->waiting.pop_front();
    ++open->answers;
    options_.onAnswer(first.request, response);
    if (keepsAlive)
        return;
    for (Cut& each : open->waiting)
        each.isBehindClose = true;
    end(open, "after an answer that said so");
}

void KeptCaller::end(const Open& open, const std::string& cause)
{
    open->isOver = true;
    std::error_code ignored;
    open->socket.close(ignored);
    for (Cut& each : std::exchange(open->waiting, {})) {
        each.answersBefore = open->answers;
        each.cause = cause;
        options_.onCut(each);
    }
    reconnect();
}

void KeptCaller::giveUp(const Open& open)
{
    for (const Cut& each : std::exchange(open->waiting, {}))
        options_.onTimeout(each.request);
    end(open, "no answer");
}

}
