#pragma once

#include "base/time.h"
#include "messages/generated/peer.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonfield {

// How busy the servers beside other instances were, by what their replies last said. Pure.
class LoadBoard {
public:
    void note(const std::string& instance, const peer::ServerLoad& load, TimePoint now);

    // What ServerGate::busyness said there; nothing when nothing was heard lately.
    std::optional<double> busyness(const std::string& instance, TimePoint now) const;

private:
    struct Seen {
        double busyness = 0;
        TimePoint at;
    };

    std::map<std::string, Seen> seen_;
};

}
