#pragma once

#include "sidecar/protocoladapter.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace persimmonfield {

// Tracks the configuration in force by the objects read from the store. A version that is not higher than the
// current one is ignored. Performs no I/O other than logging.
class ConfigurationTracker {
public:
    explicit ConfigurationTracker(const ProtocolAdapter& protocol);

    // Applies objects of the configuration's kind. Returns whether a new version has come into force.
    bool apply(const StorePage& page);

    const std::optional<VersionedConfiguration>& current() const { return current_; }

private:
    const ProtocolAdapter& protocol_;
    std::optional<VersionedConfiguration> current_;
};

}
