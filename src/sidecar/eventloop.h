#pragma once

#include "base/counters.h"

#include <asio/io_context.hpp>

namespace persimmonfield {

// Runs the loop until it is stopped or has no more work. An exception from a handler is logged and counted as
// "handler_failures_total"; it ends what the handler was doing, and the loop continues.
void runEventLoop(asio::io_context& loop, Counters& counters);

}
