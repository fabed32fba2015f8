#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <asio/io_context.hpp>

#include <atomic>
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
    NotSent, // No byte of the request was sent.
    Lost, // Possibly sent; the connection ended, or the answer was malformed, too large or had no end.
    TimedOut, // Possibly sent; no complete answer arrived in time.
};

// Whether a call may use a connection that has already carried another call.
enum class Reuse { Allowed, Forbidden };

struct CallResult {
    CallOutcome outcome = CallOutcome::NotSent;
    HttpResponse response; // Set if the outcome is Answered.
    std::string detail;
};

struct HttpClientOptions {
    Address address;
    Milliseconds connectTimeout { 1'000 };
    // How long a connection may be idle before it is closed; a server's Keep-Alive header can shorten it.
    Milliseconds idleTimeout { 8'000 };
    // Whether the kernel probes connections, so that a call with a long timeout ends early if its connection
    // is dead. If so, a call that gets no answer also closes all idle connections, because a network failure
    // that affects one connection may affect all of them.
    bool usesTcpKeepAlive = false;
    // Whether the answer belongs to the request. Other answers are discarded, and their connection is not
    // reused. Without this function every answer is accepted.
    std::function<bool(const HttpRequest& request, const HttpResponse& response)> isAnswerTo {};
    // Limits on the body of one answer and on all bodies that are being received. The call ends as Lost if
    // its answer exceeds the first limit. If all bodies together exceed the second, the call with the largest
    // one is aborted.
    size_t maxBodyBytes = 64UL * 1024 * 1024;
    size_t maxTotalBodyBytes = 64UL * 1024 * 1024;
    // Counts the bytes of all bodies that are being received. Clients with the same counter share the second
    // limit; they may run on different threads.
    std::shared_ptr<std::atomic<size_t>> totalBodyBytes = std::make_shared<std::atomic<size_t>>(0);
};

// HTTP/1.1 client for one server, driven by one event loop. Keeps connections open for further calls, with
// one request at a time on each. A connection is not reused after leftover bytes, a late answer, an answer to
// another request or a malformed answer. Before a connection is reused, its socket is checked: bytes that
// arrived before the request was sent, or the end of the stream, cannot belong to that request's answer.
class HttpClient {
public:
    using Done = std::function<void(CallResult result)>;
    using CallId = int64_t;

    HttpClient(asio::io_context& loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends the request. Calls `done` exactly once, unless the call is cancelled, and never before this
    // function returns.
    CallId call(HttpRequest request, Duration timeout, Done done, Reuse reuse = Reuse::Allowed);

    // Whether bytes of the request may have been sent.
    bool hasSent(CallId id) const;

    // Abandons the call and closes its connection, so that the server can stop working on the request. `done`
    // is not called.
    void cancel(CallId id);

    // Closes the connections that are not in use by a call.
    void closeIdle();

    // Closes the connections that are not in use by a call, and the others after their calls.
    void retireConnections();

    // Closes all connections. Calls in flight end as Lost, or as NotSent if nothing was sent.
    void closeAll();

    int64_t connectionsOpened() const { return connectionsOpened_; }

private:
    friend class HttpClientConnection;

    // Takes a reusable connection out of the idle list; null if there is none.
    std::shared_ptr<HttpClientConnection> acquireIdleConnection();
    void release(const std::shared_ptr<HttpClientConnection>& connection);
    void remove(const HttpClientConnection& connection);
    void limitTotalBodySize();

    asio::io_context& loop_;
    HttpClientOptions options_;
    CallId nextId_ = 1;
    int64_t connectionsOpened_ = 0;
    std::map<CallId, std::shared_ptr<HttpClientConnection>> calls_;
    std::list<std::shared_ptr<HttpClientConnection>> idle_; // Most recently used first.
};

}
