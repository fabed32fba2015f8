#pragma once

namespace persimmonfield {

// How persimmonctl ends; part of its interface.
enum class ExitCode {
    Ok = 0,
    Arguments = 1,
    Invalid = 2, // The files are not a valid configuration.
    Conflict = 3, // Another version is in force than was expected.
    Platform = 4, // The platform's store was not reached, or refused.
    Unknown = 5, // The outcome of a write could not be found out.
    Lagging = 6, // Some instance did not follow in time.
};

}
