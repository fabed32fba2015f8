#include "store/objectclient.h"

#include "base/boundedjson.h"
#include "http/blockingcall.h"
#include "messages/answerhead.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <httplib.h>

#include <optional>
#include <string_view>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    // The address of a URL http://HOST[:PORT], whose scheme may be absent. Returns nullopt for other URLs.
    std::optional<Address> plainAddress(std::string_view url)
    {
        constexpr std::string_view scheme = "http://";
        constexpr int defaultPort = 80;
        constexpr int maxPort = 65'535;
        if (url.substr(0, scheme.size()) == scheme)
            url.remove_prefix(scheme.size());
        const size_t colon = url.find(':');
        Address address { std::string(url.substr(0, colon)), defaultPort };
        if (address.host.empty() || address.host.find_first_of("/?#[") != std::string::npos)
            return std::nullopt;
        if (colon == std::string_view::npos)
            return address;
        const std::string_view port = url.substr(colon + 1);
        const bool isNumber = absl::SimpleAtoi(absl::string_view(port.data(), port.size()), &address.port);
        if (!isNumber || address.port < 1 || address.port > maxPort)
            return std::nullopt;
        return address;
    }

    // Percent-encodes what the target of a request must not hold, and what servers do not read as it is in a
    // query.
    std::string percentEncoded(std::string_view target)
    {
        constexpr std::string_view reserved = "+',;";
        std::string result;
        for (const char c : target) {
            const auto byte = static_cast<unsigned char>(c);
            if (absl::ascii_isgraph(byte) && reserved.find(c) == std::string_view::npos)
                result += c;
            else
                result += fmt::format("%{:02X}", byte);
        }
        return result;
    }

    CallResult toCallResult(const httplib::Result& result)
    {
        if (!result) {
            const bool neverSent = result.error() == httplib::Error::Connection;
            return { neverSent ? CallOutcome::NotSent : CallOutcome::Lost, {},
                httplib::to_string(result.error()) };
        }
        HttpResponse response { result->status, {}, result->body };
        for (const auto& [name, value] : result->headers) {
            if (!isFieldName(name))
                return { CallOutcome::Lost, {}, "what came is no answer: the name of a field is not valid" };
            response.headers.push_back({ name, value });
        }
        return { CallOutcome::Answered, std::move(response), {} };
    }

    // Makes a call to a URL that HttpClient does not support, such as https://HOST.
    CallResult callWithLibrary(const std::string& url, const HttpRequest& request, Milliseconds timeout)
    {
        httplib::Client client(url);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        client.set_tcp_nodelay(true);
        httplib::Request sent;
        sent.method = request.method;
        sent.path = request.target;
        sent.body = request.body;
        for (const peer::HeaderField& field : request.headers)
            sent.headers.emplace(field.name, field.value);
        return toCallResult(client.send(sent));
    }

    absl::Status readStatusOf(const CallResult& result)
    {
        if (result.outcome != CallOutcome::Answered)
            return absl::UnavailableError(result.detail);
        if (result.response.status != statusOk)
            return absl::UnavailableError(fmt::format("status {}", result.response.status));
        return absl::OkStatus();
    }

    WriteResult writeResultOf(const CallResult& result)
    {
        if (result.outcome != CallOutcome::Answered) {
            const bool neverSent = result.outcome == CallOutcome::NotSent;
            return { neverSent ? WriteOutcome::Refused : WriteOutcome::Unknown, 0, result.detail };
        }
        const HttpResponse& response = result.response;
        if (response.status == statusConflict)
            return { WriteOutcome::Conflict, 0, response.body };
        if (response.status == statusUnavailable)
            return { WriteOutcome::Refused, 0, "the platform's store is unavailable" };
        if (response.status != statusOk)
            return { WriteOutcome::Unknown, 0, fmt::format("status {}", response.status) };
        const auto answer = parseJson(response.body).value_or(nlohmann::json());
        if (!answer.is_object() || !answer.contains("version"))
            return { WriteOutcome::Unknown, 0, "the response contains no version" };
        return { WriteOutcome::Applied, answer["version"].get<int64_t>(), {} };
    }

    std::string target(const std::string& name, int64_t expectedVersion)
    {
        return fmt::format("/objects/{}?expected={}", name, expectedVersion);
    }

}

ObjectClient::ObjectClient(std::string url, Milliseconds timeout)
    : url_(std::move(url))
    , timeout_(timeout)
{
}

CallResult ObjectClient::call(HttpRequest request, Milliseconds timeout) const
{
    const auto address = plainAddress(url_);
    if (!address)
        return callWithLibrary(url_, request, timeout);
    request.target = percentEncoded(request.target);
    HttpClientOptions options;
    options.address = *address;
    options.connectTimeout = timeout_;
    return blockingCall(std::move(options), std::move(request), timeout);
}

absl::StatusOr<peer::StoredObject> ObjectClient::read(const std::string& name) const
{
    const CallResult result = call({ "GET", "/objects/" + name, {}, {} }, timeout_);
    if (result.outcome == CallOutcome::Answered && result.response.status == statusNotFound)
        return absl::NotFoundError(name);
    if (absl::Status status = readStatusOf(result); !status.ok())
        return status;
    try {
        return parseJson(result.response.body).value().get<peer::StoredObject>();
    } catch (const std::exception& error) {
        return absl::InternalError(error.what());
    }
}

absl::StatusOr<ObjectListing> ObjectClient::list(const std::string& prefix) const
{
    return fetchListing("/list?prefix=" + prefix, timeout_);
}

absl::StatusOr<ObjectListing> ObjectClient::watch(int64_t afterRevision, Milliseconds wait) const
{
    return fetchListing(
        fmt::format("/watch?after={}&waitMs={}", afterRevision, wait.count()), timeout_ + wait);
}

absl::StatusOr<ObjectListing> ObjectClient::fetchListing(
    const std::string& target, Milliseconds timeout) const
{
    const CallResult result = call({ "GET", target, {}, {} }, timeout);
    if (absl::Status status = readStatusOf(result); !status.ok())
        return status;
    try {
        const auto answer = parseJson(result.response.body).value();
        return ObjectListing { answer.at("revision").get<int64_t>(),
            answer.at("objects").get<std::vector<peer::StoredObject>>() };
    } catch (const std::exception& error) {
        return absl::InternalError(error.what());
    }
}

WriteResult ObjectClient::write(
    const std::string& name, const std::string& value, int64_t expectedVersion) const
{
    return writeResultOf(
        call({ "PUT", target(name, expectedVersion), { { "Content-Type", "application/json" } }, value },
            timeout_));
}

WriteResult ObjectClient::remove(const std::string& name, int64_t expectedVersion) const
{
    return writeResultOf(call({ "DELETE", target(name, expectedVersion), {}, {} }, timeout_));
}

}
