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

// Sees that the library passes bodies on as they are: it would otherwise unpack compressed and multipart
// requests, compress answers and cut ranges out of them, in the place of the backend server. Takes effect
// before the library reads a request's body. False when the request must be refused: a body where the
// library would not read it.
bool makeTransparent(const httplib::Request& request);

// What the caller sent, as it was sent.
CallerRequest callerRequest(const httplib::Request& request);

// Writes the answer of a backend server, or a refusal with its outcome and reason.
void writeReply(const std::string& method, Reply reply, httplib::Response& response);

}
