#pragma once

namespace persimmonfield {

// Exit codes of persimmonctl; part of its interface.
enum class ExitCode {
    Ok = 0,
    Arguments = 1,
    Invalid = 2, // The files do not form a valid configuration.
    Conflict = 3, // Another version is in force than was expected.
    StoreError = 4, // The platform's store was unreachable or refused the call.
    Unknown = 5, // The outcome of a write could not be determined.
    Lagging = 6, // Some instance did not apply the change in time.
    Findings = 7, // The configuration is valid, but was found to be faulty by a strict check.
};

}
