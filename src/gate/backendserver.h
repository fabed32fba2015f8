#pragma once

#include "base/address.h"
#include "base/time.h"
#include "messages/reply.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace httplib {
class Client;
}

namespace persimmonfield {

// A request as it is sent to the backend server.
struct ServerRequest {
    std::string requestId;
    std::string method;
    std::string target;
    std::vector<peer::HeaderField> headers;
    std::string body;
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

// A connection to the local backend server. All communication with the server goes through this class. Not
// thread-safe; each thread uses its own object.
class BackendServer {
public:
    explicit BackendServer(const Address& address);
    ~BackendServer();

    ServerAnswer execute(const ServerRequest& request);

    // Sends the valid fencing token of the partition to the server. Returns FailedPrecondition if the server
    // knows a newer one.
    absl::Status grant(int partition, int64_t fence);

    absl::StatusOr<ServerHealth> health();

    // Asks the server to cancel a request. Has no effect if the request has already ended.
    void cancel(const std::string& requestId);

private:
    std::unique_ptr<httplib::Client> client_;
};

}
