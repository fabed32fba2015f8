#include "http/httpclient.h"

#include "http/httpclientconnection.h"

#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    // Bodies of less than this part of the limit on all bodies are not aborted in favour of others.
    constexpr size_t largeBodyDivisor = 16;

}

HttpClient::HttpClient(asio::io_context& loop, HttpClientOptions options)
    : loop_(loop)
    , options_(std::move(options))
{
}

HttpClient::~HttpClient()
{
    const auto calls = std::move(calls_);
    const auto idle = std::move(idle_);
    for (const auto& [id, connection] : calls)
        connection->close();
    for (const auto& connection : idle)
        connection->close();
}

HttpClient::CallId HttpClient::call(HttpRequest request, Duration timeout, Done done, Reuse reuse)
{
    if (!request.header("Host"))
        request.headers.push_back({ "Host", options_.address.text() });
    std::shared_ptr<HttpClientConnection> connection;
    if (reuse == Reuse::Allowed)
        connection = acquireIdleConnection();
    if (!connection)
        connection = std::make_shared<HttpClientConnection>(*this);
    const CallId id = nextId_++;
    calls_[id] = connection;
    connection->start(id, std::move(request), timeout, std::move(done));
    return id;
}

bool HttpClient::hasSent(CallId id) const
{
    const auto found = calls_.find(id);
    return found != calls_.end() && found->second->hasSent();
}

std::shared_ptr<HttpClientConnection> HttpClient::acquireIdleConnection()
{
    while (!idle_.empty()) {
        auto connection = idle_.front();
        idle_.pop_front();
        if (connection->hasNoUnreadInput())
            return connection;
        connection->close();
    }
    return nullptr;
}

void HttpClient::cancel(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const auto connection = found->second;
    connection->close();
}

void HttpClient::closeIdle()
{
    const auto idle = std::move(idle_);
    idle_.clear();
    for (const auto& connection : idle)
        connection->close();
}

void HttpClient::retireConnections()
{
    closeIdle();
    for (const auto& [id, connection] : calls_)
        connection->closeAfterCall();
}

void HttpClient::closeAll()
{
    std::vector<std::shared_ptr<HttpClientConnection>> all(idle_.begin(), idle_.end());
    for (const auto& [id, connection] : calls_)
        all.push_back(connection);
    for (const auto& connection : all)
        connection->abort("all connections were closed");
}

void HttpClient::limitTotalBodySize()
{
    if (*options_.totalBodyBytes <= options_.maxTotalBodyBytes)
        return;
    std::shared_ptr<HttpClientConnection> largest;
    for (const auto& [id, connection] : calls_) {
        if (!largest || connection->bodySize() > largest->bodySize())
            largest = connection;
    }
    if (largest && largest->bodySize() > options_.maxTotalBodyBytes / largeBodyDivisor)
        largest->abort("the answer is too large beside others");
}

void HttpClient::release(const std::shared_ptr<HttpClientConnection>& connection)
{
    idle_.push_front(connection);
}

void HttpClient::remove(const HttpClientConnection& connection)
{
    calls_.erase(connection.callId());
    idle_.remove_if([&connection](const auto& each) { return each.get() == &connection; });
}

}
