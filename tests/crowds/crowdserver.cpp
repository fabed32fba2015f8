#include "crowds/crowdserver.h"

#include <absl/strings/match.h>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>
#include <utility>

namespace persimmonfield::testing {
namespace {

    constexpr Milliseconds reportInterval { 300 };
    constexpr Milliseconds callTimeout { 5'000 };

    // The value of the header in a request's head; empty if it is not there.
    std::string valueOf(const std::string& head, const std::string& name)
    {
        const size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

}

struct CrowdServer::Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    asio::ip::tcp::socket socket;
    std::array<char, 65'536> chunk {};
    std::string head; // Of the request that is being read.
    size_t missing = 0; // Bytes of its body.
    bool isInBody = false;
};

CrowdServer::CrowdServer(asio::io_context& loop, std::string service, std::string zone,
    const Address& address, const Address& reportAddress, int slots)
    : loop_(loop)
    , service_(std::move(service))
    , zone_(std::move(zone))
    , address_(address)
    , acceptor_(loop, { asio::ip::make_address(address.host), static_cast<uint16_t>(address.port) })
    , reports_(loop, { reportAddress, callTimeout, callTimeout, false, {} })
    , timer_(loop)
    , slots_(slots)
{
    accept();
    report();
}

void CrowdServer::accept()
{
    acceptor_.async_accept([this, alive = isAlive_](std::error_code error, asio::ip::tcp::socket socket) {
        if (error || !*alive)
            return;
        read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void CrowdServer::read(const std::shared_ptr<Connection>& connection)
{
    connection->socket.async_read_some(asio::buffer(connection->chunk),
        [this, alive = isAlive_, connection](std::error_code error, size_t size) {
            if (error || !*alive)
                return;
            const char* bytes = connection->chunk.data();
            if (!connection->isInBody) {
                connection->head.append(bytes, size);
                const size_t end = connection->head.find("\r\n\r\n");
                if (end == std::string::npos)
                    return read(connection);
                size = connection->head.size() - end - 4;
                connection->head.resize(end + 4);
                connection->missing
                    = std::strtoul(valueOf(connection->head, "Content-Length").c_str(), nullptr, 10);
                connection->isInBody = true;
                if (valueOf(connection->head, "Persimmonfield-Request-Id") != "")
                    ++requests_;
                if (absl::StrContains(connection->head.substr(0, connection->head.find("\r\n")), "/unread"))
                    return;
            }
            connection->missing -= std::min(connection->missing, size);
            connection->missing == 0 ? onHead(connection) : read(connection);
        });
}

// Called when the request has been read.
void CrowdServer::onHead(const std::shared_ptr<Connection>& connection)
{
    if (!absl::StrContains(connection->head.substr(0, connection->head.find("\r\n")), "/late"))
        return answer(connection);
    const auto timer = std::make_shared<asio::steady_timer>(loop_, lateTime);
    timer->async_wait([this, alive = isAlive_, timer, connection](std::error_code) {
        if (*alive)
            answer(connection);
    });
}

void CrowdServer::answer(const std::shared_ptr<Connection>& connection)
{
    const std::string line = connection->head.substr(0, connection->head.find("\r\n"));
    const std::string id = valueOf(connection->head, "Persimmonfield-Request-Id");
    const std::string body(absl::StrContains(line, "/large") ? largeAnswerBytes : 4, 'a');
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (id.empty())
        text += "Persimmonfield-Instance-Id: s-" + service_ + "\r\nPersimmonfield-Warmup-Ms: 0\r\n";
    else
        text += "Persimmonfield-Request-Id: " + id + "\r\nPersimmonfield-Response-Signature: signed\r\n";
    const auto bytes = std::make_shared<std::string>(text + "\r\n" + body);
    connection->head.clear();
    connection->isInBody = false;
    asio::async_write(connection->socket, asio::buffer(*bytes),
        [this, alive = isAlive_, connection, bytes](std::error_code error, size_t) {
            if (!error && *alive)
                read(connection);
        });
}

void CrowdServer::report()
{
    const nlohmann::json body { { "service", service_ }, { "address", address_.text() }, { "zone", zone_ },
        { "version", "v1" }, { "slots", slots_ }, { "state", "ready" }, { "warmupLeft", "0ms" },
        { "sequence", ++sequence_ }, { "born", 17 }, { "holds", nlohmann::json::array() },
        { "released", nlohmann::json::array() } };
    reports_.call({ "PUT", "/instances/s-" + service_, {}, body.dump() }, callTimeout, [](const auto&) {});
    timer_.expires_after(reportInterval);
    timer_.async_wait([this, alive = isAlive_](std::error_code error) {
        if (!error && *alive)
            report();
    });
}

}
