#pragma once

#include "base/address.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace persimmonfield {

struct OperatorServerOptions {
    Address listenAddress;
    std::function<std::string()> metrics; // In the Prometheus text format.
    std::function<std::string()> status; // A JSON object.
    std::function<std::string()> timeline; // One JSON object per line.
};

// HTTP server for operators and their tools: serves metrics, status and timeline on a separate port.
class OperatorServer {
public:
    explicit OperatorServer(OperatorServerOptions options);
    ~OperatorServer();

    // Returns Unavailable if the address cannot be listened on.
    absl::Status start();
    void stop();

private:
    OperatorServerOptions options_;
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
};

}
