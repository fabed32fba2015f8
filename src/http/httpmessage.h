#pragma once

#include "base/body.h"
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
    Body body;

    const std::string* header(std::string_view name) const { return findHeader(headers, name); }
};

struct HttpResponse {
    int status = 0;
    HeaderFields headers;
    std::string body;

    const std::string* header(std::string_view name) const { return findHeader(headers, name); }
};

// Serializes the request up to its body. Content-Length is written if there is a body or the method expects
// one.
std::string encodeRequestHead(const HttpRequest& request);

struct ResponseEncoding {
    bool shouldClose = false; // Adds the header Connection: close.
    bool isHeadRequest = false; // The body is omitted, but its length is sent.
};

// Serializes the request with its body.
std::string encodeRequest(const HttpRequest& request);

// Serializes the response up to its body.
std::string encodeResponseHead(const HttpResponse& response, const ResponseEncoding& encoding);

// Whether the response's body is sent.
bool sendsBody(const HttpResponse& response, const ResponseEncoding& encoding);

}
