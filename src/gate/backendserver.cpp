#include "gate/backendserver.h"

#include "base/boundedjson.h"
#include "http/blockingcall.h"

#include <absl/strings/match.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr Milliseconds controlTimeout { 500 };
    constexpr Milliseconds connectTimeout { 500 };
    // Of one answer, and of all answers that are being received.
    constexpr size_t maxAnswerBytes = 64UL * 1024 * 1024;
    constexpr size_t maxTotalAnswerBytes = 128UL * 1024 * 1024;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;
    constexpr const char* notStartedHeader = "Persimmonfield-Not-Started";

    // Hop-by-hop headers, and the one that the HTTP client sets itself.
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

    HttpRequest toHttpRequest(const ServerRequest& request)
    {
        HttpRequest result { request.method, request.target, {}, request.body };
        for (const peer::HeaderField& field : request.headers) {
            if (!isHopByHopHeader(field.name))
                result.headers.push_back(field);
        }
        const auto timeoutMs = std::chrono::duration_cast<Milliseconds>(request.timeout).count();
        result.headers.push_back({ "Persimmonfield-Request-Id", request.requestId });
        result.headers.push_back({ "Persimmonfield-Deadline", std::to_string(timeoutMs) });
        if (request.partition >= 0) {
            result.headers.push_back({ "Persimmonfield-Partition", std::to_string(request.partition) });
            result.headers.push_back({ "Persimmonfield-Fence", std::to_string(request.fence) });
        }
        return result;
    }

    ServerAnswer errorAnswer(const CallResult& result)
    {
        ServerAnswer answer;
        answer.detail = result.detail;
        if (result.outcome == CallOutcome::NotSent) {
            answer.outcome = ServerOutcome::NotStarted;
            answer.reason = RefusalReason::ServerUnreachable;
        } else {
            const bool isTimedOut = result.outcome == CallOutcome::TimedOut;
            answer.reason = isTimedOut ? RefusalReason::AnswerLost : RefusalReason::ServerFailed;
        }
        return answer;
    }

    absl::Status unavailable(const CallResult& result)
    {
        return absl::UnavailableError(result.detail);
    }

    HttpClientOptions clientOptions(const Address& address, AnswerBytes answerBytes)
    {
        HttpClientOptions options;
        options.address = resolved(address);
        options.connectTimeout = connectTimeout;
        options.maxBodyBytes = maxAnswerBytes;
        options.maxTotalBodyBytes = maxTotalAnswerBytes;
        options.totalBodyBytes = std::move(answerBytes);
        return options;
    }

}

BackendServer::BackendServer(asio::io_context& loop, const Address& address, AnswerBytes answerBytes)
    : loop_(loop)
    , client_(loop_, clientOptions(address, std::move(answerBytes)))
{
}

CallResult BackendServer::call(HttpRequest request, Duration timeout)
{
    std::optional<CallResult> result;
    client_.call(std::move(request), timeout, [&result](CallResult ended) { result = std::move(ended); });
    loop_.restart();
    while (!result)
        loop_.run_one();
    return *std::move(result);
}

CallResult BackendServer::post(const std::string& target, const json& body)
{
    return call({ "POST", target, { { "Content-Type", "application/json" } }, body.dump() }, controlTimeout);
}

ServerAnswer BackendServer::execute(const ServerRequest& request)
{
    CallResult result = call(toHttpRequest(request), request.timeout);
    if (result.outcome != CallOutcome::Answered)
        return errorAnswer(result);
    HttpResponse& response = result.response;
    ServerAnswer answer;
    const std::string* notStarted = response.header(notStartedHeader);
    if (response.status == statusUnavailable && notStarted) {
        answer.outcome = ServerOutcome::NotStarted;
        answer.reason = notStartedReason(*notStarted);
        return answer;
    }
    answer.outcome = ServerOutcome::Answered;
    answer.status = response.status;
    answer.body = std::move(response.body);
    for (peer::HeaderField& field : response.headers) {
        const bool isHeadContentLength
            = request.method == "HEAD" && absl::EqualsIgnoreCase(field.name, "content-length");
        if (!isHopByHopHeader(field.name) || isHeadContentLength)
            answer.headers.push_back(std::move(field));
    }
    return answer;
}

absl::Status BackendServer::grant(int partition, int64_t fence)
{
    const CallResult result
        = post("/persimmonfield/grant", { { "partition", partition }, { "fence", fence } });
    if (result.outcome != CallOutcome::Answered)
        return unavailable(result);
    if (result.response.status == statusConflict)
        return absl::FailedPreconditionError("the server knows a newer fence");
    if (result.response.status != statusOk)
        return absl::UnavailableError(fmt::format("status {}", result.response.status));
    return absl::OkStatus();
}

absl::StatusOr<ServerHealth> BackendServer::health()
{
    const CallResult result = call({ "GET", "/persimmonfield/health", {}, {} }, controlTimeout);
    if (result.outcome != CallOutcome::Answered)
        return unavailable(result);
    try {
        const json value = parseJson(result.response.body).value();
        return ServerHealth { value.at("process").get<std::string>(), value.at("cold").get<bool>(),
            value.at("bears").get<int>(), value.at("draining").get<bool>() };
    } catch (const std::exception& error) {
        return absl::InternalError(error.what());
    }
}

void BackendServer::cancel(const std::string& requestId)
{
    post("/persimmonfield/cancel", { { "requestId", requestId } });
}

}
