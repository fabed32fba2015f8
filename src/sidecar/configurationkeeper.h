#pragma once

#include "sidecar/edges.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace persimmonfield {

// The configuration in force, as the store last told it. Versions only go forward within one run. Pure.
class ConfigurationKeeper {
public:
    explicit ConfigurationKeeper(const Edges& edges);

    // Takes objects of the configuration's kind; answers whether another version is in force now.
    bool takeConfiguration(const StorePage& page);

    const std::optional<VersionedConfiguration>& current() const { return current_; }

private:
    const Edges& edges_;
    std::optional<VersionedConfiguration> current_;
};

}
