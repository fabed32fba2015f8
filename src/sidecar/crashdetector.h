#pragma once

#include "base/address.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace persimmonfield {

// Tells a crash of the server next to this instance from a connection that was lost for another reason. After
// a crash nothing listens on the server's address any more, so a new connection is refused. Runs on the event
// loop's thread.
class CrashDetector {
public:
    // `hasCrashed` is false if the server is there or does not respond at all.
    using Done = std::function<void(bool hasCrashed)>;

    CrashDetector(asio::io_context& loop, Address serverAddress);
    ~CrashDetector();
    CrashDetector(const CrashDetector&) = delete;
    CrashDetector& operator=(const CrashDetector&) = delete;

    // Tries to connect to the server. Calls `done` once, after this function has returned. A check must have
    // ended before the next one starts.
    void check(Done done);

private:
    struct Attempt;

    asio::io_context& loop_;
    Address serverAddress_;
    std::shared_ptr<Attempt> attempt_;
};

}
