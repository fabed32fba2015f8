#pragma once

#include "base/time.h"
#include "messages/generated/peer.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonfield {

// Tracks the load of the servers next to other instances, as reported in their last replies. Performs no I/O.
class PeerLoadTracker {
public:
    void record(const std::string& instance, const peer::ServerLoad& load, TimePoint now);

    // ServerGate::busyness of the other instance; nullopt when no recent value is known.
    std::optional<double> busyness(const std::string& instance, TimePoint now) const;

private:
    struct Seen {
        double busyness = 0;
        TimePoint at;
    };

    std::map<std::string, Seen> seen_;
};

}
