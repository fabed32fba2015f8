#include "store/objectclient.h"

#include "base/boundedjson.h"

#include <fmt/format.h>
#include <httplib.h>

#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    httplib::Client makeClient(const std::string& url, Milliseconds timeout)
    {
        httplib::Client client(url);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        client.set_tcp_nodelay(true);
        return client;
    }

    WriteResult resultOfCall(const httplib::Result& result)
    {
        if (!result) {
            const bool neverSent = result.error() == httplib::Error::Connection;
            return { neverSent ? WriteOutcome::Refused : WriteOutcome::Unknown, 0,
                httplib::to_string(result.error()) };
        }
        if (result->status == statusConflict)
            return { WriteOutcome::Conflict, 0, result->body };
        if (result->status == statusUnavailable)
            return { WriteOutcome::Refused, 0, "the platform's store is unavailable" };
        if (result->status != statusOk)
            return { WriteOutcome::Unknown, 0, fmt::format("status {}", result->status) };
        const auto answer = parseJson(result->body).value_or(nlohmann::json());
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

absl::StatusOr<peer::StoredObject> ObjectClient::read(const std::string& name) const
{
    auto client = makeClient(url_, timeout_);
    const auto result = client.Get("/objects/" + name);
    if (!result)
        return absl::UnavailableError(httplib::to_string(result.error()));
    if (result->status == statusNotFound)
        return absl::NotFoundError(name);
    if (result->status != statusOk)
        return absl::UnavailableError(fmt::format("status {}", result->status));
    try {
        return parseJson(result->body).value().get<peer::StoredObject>();
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
    auto client = makeClient(url_, timeout);
    const auto result = client.Get(target);
    if (!result)
        return absl::UnavailableError(httplib::to_string(result.error()));
    if (result->status != statusOk)
        return absl::UnavailableError(fmt::format("status {}", result->status));
    try {
        const auto answer = parseJson(result->body).value();
        return ObjectListing { answer.at("revision").get<int64_t>(),
            answer.at("objects").get<std::vector<peer::StoredObject>>() };
    } catch (const std::exception& error) {
        return absl::InternalError(error.what());
    }
}

WriteResult ObjectClient::write(
    const std::string& name, const std::string& value, int64_t expectedVersion) const
{
    auto client = makeClient(url_, timeout_);
    return resultOfCall(client.Put(target(name, expectedVersion), value, "application/json"));
}

WriteResult ObjectClient::remove(const std::string& name, int64_t expectedVersion) const
{
    auto client = makeClient(url_, timeout_);
    return resultOfCall(client.Delete(target(name, expectedVersion)));
}

}
