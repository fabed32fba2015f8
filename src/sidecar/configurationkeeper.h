#pragma once

#include "sidecar/edges.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace persimmonfield {

// The configuration in force and the zones that are taken out, as the store last told them. Versions only go
// forward within one run. Pure.
class ConfigurationKeeper {
public:
    explicit ConfigurationKeeper(const Edges& edges);

    // Takes objects of the configuration's kind; answers whether another version is in force now.
    bool takeConfiguration(const StorePage& page);

    // Takes objects of the kind that names zones taken out; answers whether the zones have changed.
    bool takeZones(const StorePage& page, bool isWhole);

    const std::optional<VersionedConfiguration>& current() const { return current_; }
    const std::set<std::string>& zonesOut() const { return zonesOut_; }

private:
    const Edges& edges_;
    std::optional<VersionedConfiguration> current_;
    bool areZonesKnown_ = false;
    std::set<std::string> zonesOut_;
};

}
