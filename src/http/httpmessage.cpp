#include "http/httpmessage.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace persimmonfield {
namespace {

    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return absl::EqualsIgnoreCase(
            absl::string_view(left.data(), left.size()), absl::string_view(right.data(), right.size()));
    }

    void appendHeaders(std::string& text, const HeaderFields& headers)
    {
        for (const peer::HeaderField& field : headers) {
            if (!isHopByHop(field.name) && !equalsIgnoringCase(field.name, "content-length"))
                absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
        }
    }

    bool expectsBody(std::string_view method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH";
    }

    bool forbidsBody(int status)
    {
        return status == statusNoContent || status == statusNotModified;
    }

}

const std::string* findHeader(const HeaderFields& headers, std::string_view name)
{
    for (const peer::HeaderField& field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 8> names { "connection", "keep-alive", "transfer-encoding",
        "te", "trailer", "upgrade", "proxy-connection", "proxy-authenticate" };
    return std::any_of(
        names.begin(), names.end(), [name](std::string_view each) { return equalsIgnoringCase(name, each); });
}

std::string encodeRequestHead(const HttpRequest& request)
{
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    appendHeaders(text, request.headers);
    if (!request.body.empty() || expectsBody(request.method))
        absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
    text += "\r\n";
    return text;
}

std::string encodeRequest(const HttpRequest& request)
{
    return encodeRequestHead(request) + request.body.text();
}

std::string encodeResponseHead(const HttpResponse& response, const ResponseEncoding& encoding)
{
    const auto reason
        = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    std::string text = absl::StrCat(
        "HTTP/1.1 ", response.status, " ", absl::string_view(reason.data(), reason.size()), "\r\n");
    appendHeaders(text, response.headers);
    if (encoding.shouldClose)
        text += "Connection: close\r\n";
    const std::string* announcedLength
        = encoding.isHeadRequest ? findHeader(response.headers, "content-length") : nullptr;
    if (announcedLength)
        absl::StrAppend(&text, "Content-Length: ", *announcedLength, "\r\n");
    else if (!forbidsBody(response.status))
        absl::StrAppend(&text, "Content-Length: ", response.body.size(), "\r\n");
    text += "\r\n";
    return text;
}

bool sendsBody(const HttpResponse& response, const ResponseEncoding& encoding)
{
    return !encoding.isHeadRequest && !forbidsBody(response.status);
}

}
