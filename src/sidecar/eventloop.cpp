#include "sidecar/eventloop.h"

#include "base/logger.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace persimmonfield {

void runEventLoop(asio::io_context& loop, Counters& counters)
{
    for (bool hasEnded = false; !hasEnded;) {
        try {
            loop.run();
            hasEnded = true;
        } catch (const std::exception& error) {
            counters.counter("handler_failures_total")++;
            log(LogLevel::Error, "handler-failed", { { "cause", error.what() } });
        }
    }
}

}
