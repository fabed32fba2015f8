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

// A request as it is written to the backend server.
struct ServerRequest {
    std::string requestId;
    std::string method;
    std::string target;
    std::vector<peer::HeaderField> headers;
    std::string body;
    int partition = -1; // -1 for a service that is not divided by key.
    int64_t fence = 0;
    Duration timeout { 0 }; // After it the server must not start the request any more.
};

enum class ServerOutcome {
    Answered,
    NotStarted, // Never written, or the server said that it did not start it.
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

// What the backend server says about itself; it may lag or mislead.
struct ServerHealth {
    std::string process; // Another one after each restart of the server.
    bool isCold = false;
    int bearable = 0; // Requests at once that it bears while cold.
    bool isDraining = false;
};

// One connection to the local backend server; all that touches the server goes through this class. For one
// thread.
class BackendServer {
public:
    explicit BackendServer(const Address& address);
    ~BackendServer();

    ServerAnswer execute(const ServerRequest& request);

    // Tells the server which fence is valid for the partition. FailedPrecondition when it knows a newer one.
    absl::Status grant(int partition, int64_t fence);

    absl::StatusOr<ServerHealth> health();

    // Asks the server to give up a request; without effect when it ended.
    void cancel(const std::string& requestId);

private:
    std::unique_ptr<httplib::Client> client_;
};

}
