#pragma once

#include "base/time.h"

#include <string>

namespace persimmonfield {

// An operator's order to move a service's requests to the servers of another version.
struct RolloutOrder {
    std::string service;
    std::string targetVersion;
    Milliseconds duration { 0 };

    // Two orders with the same text are the same one.
    std::string text() const { return targetVersion + " in " + std::to_string(duration.count()) + "ms"; }
};

}
