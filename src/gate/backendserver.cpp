#include "gate/backendserver.h"

#include "base/boundedjson.h"

#include <absl/strings/match.h>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr Milliseconds controlTimeout { 500 };
    constexpr Milliseconds connectTimeout { 500 };
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;
    constexpr const char* notStartedHeader = "Persimmonfield-Not-Started";

    // Hop-by-hop headers, and headers that httplib sets itself.
    bool isHopByHopHeader(const std::string& name)
    {
        static constexpr std::array<std::string_view, 9> names { "connection", "keep-alive",
            "transfer-encoding", "content-length", "te", "trailer", "upgrade", "proxy-connection",
            "proxy-authenticate" };
        return std::any_of(names.begin(), names.end(), [&name](std::string_view each) {
            return absl::EqualsIgnoreCase(name, absl::string_view(each.data(), each.size()));
        });
    }

    RefusalReason notStartedReason(const std::string& token)
    {
        if (token == "fence")
            return RefusalReason::ServerStaleFence;
        if (token == "drain")
            return RefusalReason::ServerDraining;
        return RefusalReason::ServerShedding;
    }

    httplib::Request toHttplibRequest(const ServerRequest& request)
    {
        httplib::Request result;
        result.method = request.method;
        result.path = request.target;
        result.body = request.body;
        for (const peer::HeaderField& field : request.headers) {
            if (!isHopByHopHeader(field.name))
                result.headers.emplace(field.name, field.value);
        }
        const auto timeoutMs = std::chrono::duration_cast<Milliseconds>(request.timeout).count();
        result.headers.emplace("Persimmonfield-Request-Id", request.requestId);
        result.headers.emplace("Persimmonfield-Deadline", std::to_string(timeoutMs));
        if (request.partition >= 0) {
            result.headers.emplace("Persimmonfield-Partition", std::to_string(request.partition));
            result.headers.emplace("Persimmonfield-Fence", std::to_string(request.fence));
        }
        return result;
    }

    // If the connection breaks before the timeout, the server has failed. If it could not be established, the
    // request was not started.
    ServerAnswer errorAnswer(httplib::Error error, bool isTimedOut)
    {
        ServerAnswer answer;
        answer.detail = httplib::to_string(error);
        answer.reason = isTimedOut ? RefusalReason::AnswerLost : RefusalReason::ServerFailed;
        if (error == httplib::Error::Connection) {
            answer.outcome = ServerOutcome::NotStarted;
            answer.reason = RefusalReason::ServerUnreachable;
        }
        return answer;
    }

}

BackendServer::BackendServer(const Address& address)
    : client_(std::make_unique<httplib::Client>(address.host, address.port))
{
    client_->set_keep_alive(true);
    client_->set_tcp_nodelay(true);
    client_->set_decompress(false);
    client_->set_url_encode(false);
    client_->set_connection_timeout(connectTimeout);
}

BackendServer::~BackendServer() = default;

ServerAnswer BackendServer::execute(const ServerRequest& request)
{
    client_->set_read_timeout(request.timeout);
    client_->set_write_timeout(request.timeout);
    const TimePoint startTime = BootClock::now();
    auto result = client_->send(toHttplibRequest(request));
    if (!result)
        return errorAnswer(result.error(), BootClock::now() - startTime >= request.timeout);
    ServerAnswer answer;
    if (result->status == statusUnavailable && result->has_header(notStartedHeader)) {
        answer.outcome = ServerOutcome::NotStarted;
        answer.reason = notStartedReason(result->get_header_value(notStartedHeader));
        return answer;
    }
    answer.outcome = ServerOutcome::Answered;
    answer.status = result->status;
    answer.body = std::move(result->body);
    for (const auto& [name, value] : result->headers) {
        const bool isHeadContentLength
            = request.method == "HEAD" && absl::EqualsIgnoreCase(name, "content-length");
        if (!isHopByHopHeader(name) || isHeadContentLength)
            answer.headers.push_back({ name, value });
    }
    return answer;
}

absl::Status BackendServer::grant(int partition, int64_t fence)
{
    client_->set_read_timeout(controlTimeout);
    const json body { { "partition", partition }, { "fence", fence } };
    const auto result = client_->Post("/persimmonfield/grant", body.dump(), "application/json");
    if (!result)
        return absl::UnavailableError(httplib::to_string(result.error()));
    if (result->status == statusConflict)
        return absl::FailedPreconditionError("the server knows a newer fence");
    if (result->status != statusOk)
        return absl::UnavailableError(fmt::format("status {}", result->status));
    return absl::OkStatus();
}

absl::StatusOr<ServerHealth> BackendServer::health()
{
    client_->set_read_timeout(controlTimeout);
    const auto result = client_->Get("/persimmonfield/health");
    if (!result)
        return absl::UnavailableError(httplib::to_string(result.error()));
    try {
        const json value = parseJson(result->body).value();
        return ServerHealth { value.at("process").get<std::string>(), value.at("cold").get<bool>(),
            value.at("bears").get<int>(), value.at("draining").get<bool>() };
    } catch (const std::exception& error) {
        return absl::InternalError(error.what());
    }
}

void BackendServer::cancel(const std::string& requestId)
{
    client_->set_read_timeout(controlTimeout);
    client_->Post("/persimmonfield/cancel", json { { "requestId", requestId } }.dump(), "application/json");
}

}
