#pragma once

#include "base/time.h"
#include "config/configurationcheck.h"
#include "persimmonctl/exitcode.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace persimmonfield {

struct FleetCommandOptions {
    std::string platformUrl;
    bool asJson = false;
    std::string instanceFilter; // Empty for the events of all instances.
    std::string kindFilter; // Empty for events of all kinds.
};

// Prints the state of each instance, its number of grants and its configuration version.
ExitCode statusCommand(const FleetCommandOptions& options);

// Waits until the configuration version is in force on every joined instance, at most for `timeout`. Returns
// the names of the instances that lag or do not answer, or an error if the store was not reached.
absl::StatusOr<std::vector<std::string>> waitUntilInForce(
    const std::string& platformUrl, int64_t version, Milliseconds timeout);

// Counts the servers that are up, or returns an error if the store was not reached.
absl::StatusOr<FleetSummary> summarizeFleet(const std::string& platformUrl);

// Prints the events of all instances in the order of their hybrid logical clocks.
ExitCode timelineCommand(const FleetCommandOptions& options);

// Generates a caller key and prints it with the configuration section that declares it.
ExitCode keyCommand(const std::string& name, const std::string& team, bool asJson);

}
