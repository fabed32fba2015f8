#pragma once

#include "persimmonctl/exitcode.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonfield {

struct ConfigCommandOptions {
    std::string platformUrl;
    std::string directory;
    std::optional<int64_t> expectedVersion;
    bool asJson = false;
    bool shouldWait = false; // Return only when the change is in force on every instance.
    bool isStrict = false; // Findings in a valid configuration are an error.
};

// Checks whether the files of the directory form a valid configuration, and prints what in it can never have
// an effect or contradicts itself. If there is a platform, also prints what differs from the version in
// force.
ExitCode checkCommand(const ConfigCommandOptions& options);

// Replaces the configuration in force with the files of the directory, atomically.
ExitCode applyCommand(const ConfigCommandOptions& options);

// Prints the configuration in force, or writes it to the directory if one is given.
ExitCode showCommand(const ConfigCommandOptions& options);

// Lists the accepted configuration versions.
ExitCode historyCommand(const ConfigCommandOptions& options);

}
