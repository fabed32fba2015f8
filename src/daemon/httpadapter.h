#pragma once

#include "messages/reply.h"
#include "routing/router.h"

#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace persimmonfield {

// Prevents the HTTP library from altering bodies. It would otherwise decompress request bodies, parse
// multipart ones, compress answers and cut ranges out of them, all of which is up to the backend server. Must
// be called before the library reads the request's body. Returns false if the request must be refused,
// because it has a body with a method for which the library does not read one.
bool preserveBody(const httplib::Request& request);

// The request as the caller sent it.
CallerRequest callerRequest(const httplib::Request& request);

// Writes a backend server's answer, or a refusal with its outcome and reason.
void writeReply(const std::string& method, Reply reply, httplib::Response& response);

}
