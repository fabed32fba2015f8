#pragma once

#include "persimmonctl/exitcode.h"

#include <string>

namespace persimmonfield {

struct FleetCommandOptions {
    std::string platformUrl;
    bool asJson = false;
    std::string instanceFilter; // Only events of this instance; empty for all.
    std::string kindFilter; // Only events of this kind; empty for all.
};

// Shows instances, owners and the configuration version in force on each.
ExitCode statusCommand(const FleetCommandOptions& options);

// Prints the events of all instances, merged in the order of their hybrid time.
ExitCode timelineCommand(const FleetCommandOptions& options);

// Makes a caller key and the section that declares it.
ExitCode keyCommand(const std::string& name, const std::string& team, bool asJson);

}
