#pragma once

#include "messages/generated/peer.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmonfield {

using HeaderFields = std::vector<peer::HeaderField>;

// Returns the value of the first header with this name, compared without case, or nullptr if there is none.
const std::string* findHeader(const HeaderFields& headers, std::string_view name);

// Whether the header applies to a single connection only and must not be forwarded.
bool isHopByHop(std::string_view name);

// A request that was read from a connection or will be written to one.
struct HttpRequest {
    std::string method;
    std::string target; // Path and query, as sent.
    HeaderFields headers;
    std::string body;

    const std::string* header(std::string_view name) const { return findHeader(headers, name); }
};

struct HttpResponse {
    int status = 0;
    HeaderFields headers;
    std::string body;

    const std::string* header(std::string_view name) const { return findHeader(headers, name); }
};

// Serializes the request. Content-Length is written if there is a body or the method expects one.
std::string encodeRequest(const HttpRequest& request);

struct ResponseEncoding {
    bool shouldClose = false; // Adds the header Connection: close.
    bool isHeadRequest = false; // The body is omitted, but its length is sent.
};

std::string encodeResponse(const HttpResponse& response, const ResponseEncoding& encoding);

}
