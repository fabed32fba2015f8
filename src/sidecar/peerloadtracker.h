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

    // `work` is the usual work of a request at the server, relative to the mean of all servers.
    void recordWork(const std::string& instance, double work, TimePoint now);

    // ServerGate::busyness of the other instance; nullopt when no recent value is known.
    std::optional<double> busyness(const std::string& instance, TimePoint now) const;

    // How much work the server completes relative to another one at the same busyness; 1 if it is not known.
    double capacity(const std::string& instance, const std::string& other, TimePoint now) const;

private:
    struct Seen {
        double busyness = 0;
        double slots = 0;
        double work = 0; // Smoothed; 0 if it is not known.
        TimePoint at;
    };

    const Seen* find(const std::string& instance, TimePoint now) const;

    std::map<std::string, Seen> seen_;
};

}
