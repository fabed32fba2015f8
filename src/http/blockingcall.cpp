#include "http/blockingcall.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace persimmonfield {

Address resolved(const Address& address)
{
    std::error_code error;
    asio::io_context loop;
    asio::ip::tcp::resolver resolver(loop);
    const auto entries = resolver.resolve(
        address.host, std::to_string(address.port), asio::ip::resolver_base::numeric_service, error);
    if (error || entries.empty())
        return address;
    const auto found = std::find_if(
        entries.begin(), entries.end(), [](const auto& entry) { return entry.endpoint().address().is_v4(); });
    const auto& entry = found == entries.end() ? *entries.begin() : *found;
    return { entry.endpoint().address().to_string(), address.port };
}

CallResult blockingCall(HttpClientOptions options, HttpRequest request, Duration timeout)
{
    if (!request.header("Host"))
        request.headers.push_back({ "Host", options.address.text() });
    options.address = resolved(options.address);
    asio::io_context loop(1);
    HttpClient client(loop, std::move(options));
    std::optional<CallResult> result;
    client.call(std::move(request), timeout, [&result](CallResult ended) { result = std::move(ended); });
    while (!result)
        loop.run_one();
    return *std::move(result);
}

}
