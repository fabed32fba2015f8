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
    bool waits = false; // Return only when the change is in force everywhere.
};

// Says whether the directory's files are a valid configuration.
ExitCode checkCommand(const ConfigCommandOptions& options);

// Puts the directory's files in force as one whole.
ExitCode applyCommand(const ConfigCommandOptions& options);

// Prints the configuration in force; with a directory, writes it there instead.
ExitCode showCommand(const ConfigCommandOptions& options);

// Lists the accepted versions.
ExitCode historyCommand(const ConfigCommandOptions& options);

}
