#pragma once

#include "base/time.h"
#include "persimmonctl/exitcode.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace persimmonfield {

struct FleetCommandOptions {
    std::string platformUrl;
    bool asJson = false;
    std::string instanceFilter; // Only events of this instance; empty for all.
    std::string kindFilter; // Only events of this kind; empty for all.
};

// Shows instances, owners and the configuration version in force on each.
ExitCode statusCommand(const FleetCommandOptions& options);

// Waits until that configuration version is in force on every living instance, at most for `patience`. Names
// those that lag or do not answer, or an error when the store was not reached.
absl::StatusOr<std::vector<std::string>> waitUntilInForce(
    const std::string& platformUrl, int64_t version, Milliseconds patience);

// Prints the events of all instances, merged in the order of their hybrid time.
ExitCode timelineCommand(const FleetCommandOptions& options);

// Makes a caller key and the section that declares it.
ExitCode keyCommand(const std::string& name, const std::string& team, bool asJson);

}
