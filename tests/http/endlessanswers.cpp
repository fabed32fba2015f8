// The HTTP client must abort answers that never end, long before its calls time out, and close their
// connections. Runs against a server on loopback.

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
constexpr Milliseconds callTimeout { 10'000 };
constexpr Milliseconds testTimeout { 20'000 };
constexpr size_t maxBodyBytes = 4'194'304;
constexpr size_t finiteBodyBytes = 1'000'000;

// Answers requests with a prefix followed by the same bytes repeated until the client closes the connection.
// A request for /other gets a finite answer, whose last byte is sent by finishFiniteAnswer().
class EndlessServer {
public:
    EndlessServer(asio::io_context& loop, std::string prefix, const std::string& repeatedPart)
        : acceptor_(loop, { asio::ip::make_address(address.host), static_cast<uint16_t>(address.port) })
        , prefix_(std::move(prefix))
    {
        while (!repeatedPart.empty() && repeated_.size() < 65'536)
            repeated_ += repeatedPart;
        accept();
    }

    size_t openConnections() const { return openConnections_; }
    bool hasFiniteAnswerStarted() const { return finiteAnswerSocket_ != nullptr; }
    void finishFiniteAnswer() { asio::write(*finiteAnswerSocket_, asio::buffer("x", 1)); }

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++openConnections_;
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
                const bool isFinite = std::string_view(request->data(), size).find("/other") != size_t(-1);
                isFinite ? startFiniteAnswer(socket) : write(socket, prefix_);
            });
    }

    void write(const Socket& socket, const std::string& bytes)
    {
        asio::async_write(*socket, asio::buffer(bytes), [this, socket](std::error_code error, size_t) {
            if (error)
                --openConnections_;
            else
                write(socket, repeated_);
        });
    }

    void startFiniteAnswer(const Socket& socket)
    {
        const auto bytes = std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(finiteBodyBytes) + "\r\n\r\n" + std::string(finiteBodyBytes - 1, 'x'));
        asio::async_write(*socket, asio::buffer(*bytes),
            [this, socket, bytes](std::error_code, size_t) { finiteAnswerSocket_ = socket; });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::string prefix_;
    std::string repeated_;
    Socket finiteAnswerSocket_;
    size_t openConnections_ = 0;
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
        result.maxBodyBytes = maxBodyBytes;
        result.maxTotalBodyBytes = maxBodyBytes;
        result.isAnswerTo = [](const HttpRequest&, const HttpResponse& response) {
            return response.header("Foreign") == nullptr;
        };
        return result;
    }

    void call(HttpClient & client, const std::string& target = "/")
    {
        client.call({ "GET", target, {}, {} }, callTimeout,
            [this](CallResult result) { results.push_back(std::move(result)); });
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + testTimeout;
        while (!condition() && BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        CHECK(condition());
    }

    // Checks that the calls end as Lost before they time out, and that their connections are closed.
    void checkIsAborted(const std::string& prefix, const std::string& repeatedPart, size_t calls = 1)
    {
        EndlessServer server(loop, prefix, repeatedPart);
        HttpClient client(loop, options());
        for (size_t i = 0; i < calls; ++i)
            call(client);
        runUntil([this, calls] { return results.size() == calls; });
        for (const CallResult& result : results)
            CHECK(result.outcome == CallOutcome::Lost);
        runUntil([&server] { return server.openConnections() == 0; });
    }
};

TEST(EndlessAnswers, InvalidStatusLineIsAborted)
{
    checkIsAborted("xyz", "xyz");
}

TEST(EndlessAnswers, HeaderIsAborted)
{
    checkIsAborted("HTTP/1.1 200 OK\r\n", "Field: value\r\n");
}

TEST(EndlessAnswers, HeaderFieldIsAborted)
{
    checkIsAborted("HTTP/1.1 200 OK\r\nField: ", "value");
}

TEST(EndlessAnswers, BodyWithoutContentLengthIsAborted)
{
    checkIsAborted("HTTP/1.1 200 OK\r\n\r\n", "body");
}

TEST(EndlessAnswers, ChunkedBodyIsAborted)
{
    checkIsAborted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n");
}

TEST(EndlessAnswers, ChunkExtensionIsAborted)
{
    checkIsAborted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension");
}

TEST(EndlessAnswers, TrailersAreAborted)
{
    checkIsAborted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n");
}

TEST(EndlessAnswers, InterimAnswersAreAborted)
{
    checkIsAborted("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST(EndlessAnswers, AnswersToOtherRequestsAreAborted)
{
    const std::string foreign = "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 0\r\n\r\n";
    checkIsAborted(foreign, foreign);
}

TEST(EndlessAnswers, BodiesOnManyConnectionsShareOneLimit)
{
    checkIsAborted("HTTP/1.1 200 OK\r\n\r\n", "body", 12);
}

TEST(EndlessAnswers, AnotherAnswerCompletesDespiteAnEndlessOne)
{
    EndlessServer server(loop, "HTTP/1.1 200 OK\r\n\r\n", "body");
    HttpClientOptions unlimited = options();
    unlimited.maxBodyBytes = 10 * maxBodyBytes;
    HttpClient client(loop, unlimited);
    call(client, "/other");
    runUntil([&server] { return server.hasFiniteAnswerStarted(); });
    call(client);
    runUntil([this] { return results.size() == 1; });
    CHECK(results.front().outcome == CallOutcome::Lost);
    server.finishFiniteAnswer();
    runUntil([this] { return results.size() == 2; });
    CHECK(results.back().outcome == CallOutcome::Answered);
    LONGS_EQUAL(finiteBodyBytes, results.back().response.body.size());
}
