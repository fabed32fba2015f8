#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace persimmonfield {

class HttpClientConnection;

enum class CallOutcome {
    Answered,
    NotSent, // Certainly no byte of the request was sent.
    Lost, // Sent at least in part; the connection ended, or what came was no answer or had no end.
    TimedOut, // Sent at least in part; no whole answer came in time.
};

// Whether a call may use a kept connection.
enum class Reuse { Allowed, Forbidden };

struct CallResult {
    CallOutcome outcome = CallOutcome::NotSent;
    HttpResponse response; // When answered.
    std::string detail;
};

struct HttpClientOptions {
    Address address;
    Milliseconds connectTimeout { 1'000 };
    // How long a connection may lie idle before it is closed; a server's Keep-Alive shortens it.
    Milliseconds idleTimeout { 8'000 };
    // Whether connections are probed, so that one that went silent ends while a call waits long. A call
    // without an answer then ends those that lie idle too: what silenced one may have silenced all.
    bool noticesSilence = false;
    // Whether the answer belongs to the request; others are dropped, and their connection is not kept.
    std::function<bool(const HttpRequest& request, const HttpResponse& response)> isAnswerTo {};
    // Bytes of one answer's body, and of all that are being received. An answer that exceeds the one, and the
    // largest where all exceed the other, is given up.
    size_t largestBody = 64UL * 1024 * 1024;
    size_t bodiesTogether = 64UL * 1024 * 1024;
};

// Calls to one server over kept connections, one request at a time on each, driven by one event loop. A
// connection with bytes left over, a late or foreign answer or a broken one is never used again, and one that
// is used again is looked at first: what came before the request was sent, even its end, answers nothing.
class HttpClient {
public:
    using Done = std::function<void(CallResult result)>;
    using CallId = int64_t;

    HttpClient(asio::io_context& loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends the request; `done` is called exactly once, never before the return, unless the call is
    // cancelled.
    CallId call(HttpRequest request, Duration timeout, Done done, Reuse reuse = Reuse::Allowed);

    // Whether bytes of the request may have been sent.
    bool hasSent(CallId id) const;

    // Gives the call up and closes its connection, which tells the server to stop; `done` is not called.
    void cancel(CallId id);

    // Closes the connections that no call uses.
    void closeIdle();

    // Closes all connections; calls under way end as Lost.
    void closeAll();

    int64_t connectionsOpened() const { return connectionsOpened_; }

private:
    friend class HttpClientConnection;

    // The kept connection to use next; null when there is none.
    std::shared_ptr<HttpClientConnection> takeIdle();
    void release(const std::shared_ptr<HttpClientConnection>& connection);
    void forget(const HttpClientConnection& connection);
    void limitBodies();

    asio::io_context& loop_;
    HttpClientOptions options_;
    CallId nextId_ = 1;
    int64_t connectionsOpened_ = 0;
    std::map<CallId, std::shared_ptr<HttpClientConnection>> calls_;
    std::list<std::shared_ptr<HttpClientConnection>> idle_; // Last used first.
};

}
