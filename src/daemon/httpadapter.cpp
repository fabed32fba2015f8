#include "daemon/httpadapter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

namespace persimmonfield {
namespace {

    // Headers that make the library alter a body are renamed with this prefix, so that it ignores them.
    constexpr std::string_view hiddenPrefix = "Persimmonfield-Hidden-";
    constexpr std::array<const char*, 4> bodyAlteringHeaders { "Content-Type", "Content-Encoding",
        "Accept-Encoding", "Range" };

    bool isHidden(const std::string& name)
    {
        return absl::StartsWithIgnoreCase(name, absl::string_view(hiddenPrefix.data(), hiddenPrefix.size()));
    }

    bool mayCarryBody(const std::string& method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
    }

    void removeHiddenHeaders(httplib::Headers& headers)
    {
        for (auto field = headers.begin(); field != headers.end();)
            field = isHidden(field->first) ? headers.erase(field) : std::next(field);
    }

    void hideHeader(httplib::Headers& headers, const char* name)
    {
        const auto range = headers.equal_range(name);
        std::vector<std::string> values;
        for (auto field = range.first; field != range.second; ++field)
            values.push_back(field->second);
        headers.erase(name);
        for (const std::string& value : values)
            headers.emplace(std::string(hiddenPrefix) + name, value);
    }

    int statusOf(const Reply& reply)
    {
        switch (reply.reason) {
        case RefusalReason::NoKey:
        case RefusalReason::UnknownKey:
            return 401;
        case RefusalReason::TeamNotAllowed:
            return 403;
        case RefusalReason::NoRoute:
            return 404;
        case RefusalReason::BadRequest:
        case RefusalReason::KeyInvalid:
            return 400;
        case RefusalReason::RateExceeded:
            return 429;
        case RefusalReason::DeadlinePassed:
            return 504;
        default:
            return reply.isNotRun() ? 503 : 502;
        }
    }

    void writeRefusal(const Reply& reply, httplib::Response& response)
    {
        const std::string token(refusalToken(reply.reason));
        const char* outcome = reply.isNotRun() ? "not-run" : "unknown";
        response.status = statusOf(reply);
        response.set_header("Persimmonfield-Outcome", outcome);
        response.set_header("Persimmonfield-Reason", token);
        for (const peer::HeaderField& field : reply.headers)
            response.set_header(field.name, field.value);
        const nlohmann::json problem { { "type", "about:blank" }, { "title", token },
            { "status", response.status }, { "detail", reply.detail }, { "outcome", outcome } };
        response.set_content(problem.dump(), "application/problem+json");
    }

}

bool preserveBody(const httplib::Request& request)
{
    // The library passes its own mutable object as const; there is no other way to change it before the body
    // is read.
    auto& changeable = const_cast<httplib::Request&>(request);
    removeHiddenHeaders(changeable.headers);
    changeable.ranges.clear();
    for (const char* name : bodyAlteringHeaders)
        hideHeader(changeable.headers, name);
    const bool announcesBody = request.has_header("Transfer-Encoding")
        || (request.has_header("Content-Length") && request.get_header_value("Content-Length") != "0");
    if (mayCarryBody(request.method)) {
        if (!announcesBody && !request.has_header("Content-Length"))
            changeable.headers.emplace("Content-Length", "0");
        return true;
    }
    return !announcesBody;
}

CallerRequest callerRequest(const httplib::Request& request)
{
    CallerRequest result;
    result.method = request.method;
    result.target = request.target;
    for (const auto& [name, value] : request.headers) {
        const bool isAddedByLibrary = absl::EqualsIgnoreCase(name, "REMOTE_ADDR")
            || absl::EqualsIgnoreCase(name, "REMOTE_PORT") || absl::EqualsIgnoreCase(name, "LOCAL_ADDR")
            || absl::EqualsIgnoreCase(name, "LOCAL_PORT");
        if (!isAddedByLibrary)
            result.headers.push_back({ isHidden(name) ? name.substr(hiddenPrefix.size()) : name, value });
    }
    return result;
}

void writeReply(const std::string& method, Reply reply, httplib::Response& response)
{
    if (!reply.isAnswer)
        return writeRefusal(reply, response);
    response.status = reply.status;
    std::string contentType;
    for (const peer::HeaderField& field : reply.headers) {
        if (absl::EqualsIgnoreCase(field.name, "Content-Type") && method != "HEAD")
            contentType = field.value;
        else
            response.headers.emplace(field.name, field.value);
    }
    if (reply.body.empty())
        return;
    // The library sends a body unaltered only if it comes from a content provider of known length.
    auto body = std::make_shared<const std::string>(std::move(reply.body));
    response.set_content_provider(
        body->size(), contentType, [body](size_t offset, size_t length, httplib::DataSink& sink) {
            return sink.write(body->data() + offset, length);
        });
    if (contentType.empty())
        response.headers.erase("Content-Type");
}

}
