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

struct OperatorPortOptions {
    Address listenAddress;
    std::function<std::string()> metrics; // Text exposition.
    std::function<std::string()> status; // A JSON object.
    std::function<std::string()> timeline; // A JSON object a line.
};

// What operators and their tools ask a daemon for, on a port of its own.
class OperatorPort {
public:
    explicit OperatorPort(OperatorPortOptions options);
    ~OperatorPort();

    // Unavailable when the address cannot be listened on.
    absl::Status start();
    void stop();

private:
    OperatorPortOptions options_;
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
};

}
