#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpclient.h"
#include "messages/reply.h"

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace persimmonfield {

// A request as it is sent to the backend server.
struct ServerRequest {
    std::string requestId;
    std::string method;
    std::string target;
    std::vector<peer::HeaderField> headers;
    Body body;
    int partition = -1; // -1 for a service that is not partitioned by key.
    int64_t fence = 0;
    Duration timeout { 0 }; // The server must not start the request after this time.
};

enum class ServerOutcome {
    Answered,
    NotStarted, // Never sent, or the server reported that it did not start the request.
    Unknown,
};

struct ServerAnswer {
    ServerOutcome outcome = ServerOutcome::Unknown;
    RefusalReason reason = RefusalReason::AnswerLost;
    std::string detail;
    int status = 0;
    std::vector<peer::HeaderField> headers;
    std::string body;
};

// The backend server's own health report. It may be out of date or wrong.
struct ServerHealth {
    std::string processId; // Changes whenever the server restarts.
    bool isCold = false;
    int coldCapacity = 0; // Maximum number of concurrent requests while the server is cold.
    bool isDraining = false;
};

// Counts the bytes of the answers that are being received from a backend server, over all threads.
using AnswerBytes = std::shared_ptr<std::atomic<size_t>>;

// A connection to the local backend server. All communication with the server goes through this class. Runs
// the loop until a call has ended. Not thread-safe; each thread has its own object and loop, and all of them
// have the same counter.
class BackendServer {
public:
    BackendServer(asio::io_context& loop, const Address& address, AnswerBytes answerBytes);

    ServerAnswer execute(const ServerRequest& request);

    // Sends the valid fencing token of the partition to the server. Returns FailedPrecondition if the server
    // knows a newer one.
    absl::Status grant(int partition, int64_t fence);

    absl::StatusOr<ServerHealth> health();

    // Asks the server to cancel a request. Has no effect if the request has already ended.
    void cancel(const std::string& requestId);

private:
    CallResult call(HttpRequest request, Duration timeout);
    CallResult post(const std::string& target, const nlohmann::json& body);

    asio::io_context& loop_;
    HttpClient client_;
};

}
