#pragma once

#include "messages/generated/peer.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmonfield {

using HeaderFields = std::vector<peer::HeaderField>;

// The value of the first header of that name, whatever its case; nullptr when there is none.
const std::string* findHeader(const HeaderFields& headers, std::string_view name);

// Whether the header speaks of one connection only and must not be passed on.
bool isHopByHop(std::string_view name);

// A request as it was read from a connection, or as it is to be written to one.
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

// The request as bytes. Content-Length is written where there is a body or the method expects one.
std::string encodeRequest(const HttpRequest& request);

struct ResponseEncoding {
    bool shouldClose = false; // Says Connection: close.
    bool isHeadRequest = false; // The body is left out, its length is told.
};

std::string encodeResponse(const HttpResponse& response, const ResponseEncoding& encoding);

}
