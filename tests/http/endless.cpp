// Servers whose answers never end, against the event-driven HTTP client on loopback.

#include "http/httpclient.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'753 };
constexpr Milliseconds patience { 10'000 };
constexpr Milliseconds longTime { 20'000 };
constexpr size_t largestBody = 4'194'304;
constexpr size_t otherBody = 1'000'000;

// Answers requests with a beginning, then with the same bytes again and again until the caller closes. One
// for /other gets an answer that has an end, whose last byte waits until it is told to come.
class EndlessServer {
public:
    EndlessServer(asio::io_context& loop, std::string beginning, const std::string& part)
        : acceptor_(loop, { asio::ip::make_address(address.host), static_cast<uint16_t>(address.port) })
        , beginning_(std::move(beginning))
    {
        while (!part.empty() && repeated_.size() < 65'536)
            repeated_ += part;
        accept();
    }

    size_t open() const { return open_; }
    bool isOtherBegun() const { return other_ != nullptr; }
    void endOther() { asio::write(*other_, asio::buffer("x", 1)); }

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++open_;
            read(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void read(const Socket& socket)
    {
        const auto request = std::make_shared<std::array<char, 4'096>>();
        socket->async_read_some(
            asio::buffer(*request), [this, socket, request](std::error_code error, size_t size) {
                if (error)
                    return;
                const bool isOther = std::string_view(request->data(), size).find("/other") != size_t(-1);
                isOther ? beginOther(socket) : write(socket, beginning_);
            });
    }

    void write(const Socket& socket, const std::string& bytes)
    {
        asio::async_write(*socket, asio::buffer(bytes), [this, socket](std::error_code error, size_t) {
            if (error)
                --open_;
            else
                write(socket, repeated_);
        });
    }

    void beginOther(const Socket& socket)
    {
        const auto bytes = std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(otherBody) + "\r\n\r\n" + std::string(otherBody - 1, 'x'));
        asio::async_write(*socket, asio::buffer(*bytes),
            [this, socket, bytes](std::error_code, size_t) { other_ = socket; });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::string beginning_;
    std::string repeated_;
    Socket other_;
    size_t open_ = 0;
};

}

TEST_GROUP(EndlessAnswers)
{
    asio::io_context loop { 1 };
    std::vector<CallResult> results;

    HttpClientOptions options() const
    {
        HttpClientOptions result;
        result.address = address;
        result.largestBody = largestBody;
        result.bodiesTogether = largestBody;
        result.isAnswerTo = [](const HttpRequest&, const HttpResponse& response) {
            return response.header("Foreign") == nullptr;
        };
        return result;
    }

    void call(HttpClient & client, const std::string& target = "/")
    {
        client.call({ "GET", target, {}, {} }, patience,
            [this](CallResult result) { results.push_back(std::move(result)); });
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition() && BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        CHECK(condition());
    }

    // The calls end long before they time out, and their connections are closed.
    void checkIsCutOff(const std::string& beginning, const std::string& part, size_t calls = 1)
    {
        EndlessServer server(loop, beginning, part);
        HttpClient client(loop, options());
        for (size_t i = 0; i < calls; ++i)
            call(client);
        runUntil([this, calls] { return results.size() == calls; });
        for (const CallResult& result : results)
            CHECK(result.outcome == CallOutcome::Lost);
        runUntil([&server] { return server.open() == 0; });
    }
};

TEST(EndlessAnswers, BytesThatAreNoHeadAreCutOff)
{
    checkIsCutOff("xyz", "xyz");
}

TEST(EndlessAnswers, AHeadIsCutOff)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\n", "Field: value\r\n");
}

TEST(EndlessAnswers, AFieldIsCutOff)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\nField: ", "value");
}

TEST(EndlessAnswers, ABodyWithoutALengthIsCutOff)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\n\r\n", "body");
}

TEST(EndlessAnswers, ABodyInChunksIsCutOff)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n");
}

TEST(EndlessAnswers, AChunkExtensionIsCutOff)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension");
}

TEST(EndlessAnswers, TrailersAreCutOff)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n");
}

TEST(EndlessAnswers, InterimAnswersAreCutOff)
{
    checkIsCutOff("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST(EndlessAnswers, AnswersToOtherRequestsAreCutOff)
{
    const std::string foreign = "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 0\r\n\r\n";
    checkIsCutOff(foreign, foreign);
}

TEST(EndlessAnswers, BodiesOnManyConnectionsShareTheirRoom)
{
    checkIsCutOff("HTTP/1.1 200 OK\r\n\r\n", "body", 12);
}

TEST(EndlessAnswers, AnAnswerBesideAnEndlessOneIsWhole)
{
    EndlessServer server(loop, "HTTP/1.1 200 OK\r\n\r\n", "body");
    HttpClientOptions unlimited = options();
    unlimited.largestBody = 10 * largestBody;
    HttpClient client(loop, unlimited);
    call(client, "/other");
    runUntil([&server] { return server.isOtherBegun(); });
    call(client);
    runUntil([this] { return results.size() == 1; });
    CHECK(results.front().outcome == CallOutcome::Lost);
    server.endOther();
    runUntil([this] { return results.size() == 2; });
    CHECK(results.back().outcome == CallOutcome::Answered);
    LONGS_EQUAL(otherBody, results.back().response.body.size());
}
