#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonfield::soak {

// Counts the runs of a request that crashes every server that starts to work on it, and checks them against
// the platform's bound: once three servers have crashed and the word of it has had time to spread, only a few
// more runs are allowed.
class CrashingRequest {
public:
    // `target` is the path that identifies the request.
    explicit CrashingRequest(std::string target)
        : target_(std::move(target))
    {
    }

    const std::string& target() const { return target_; }
    bool isCard() const { return target_.rfind("/cards/", 0) == 0; }
    // Whether it is idempotent and has no key.
    bool isLookup() const { return target_.rfind("/lookups/", 0) == 0; }

    // Records a run. `isInTouch` is whether no fault has disconnected the machine that ran it for a while.
    // Returns the violation if the run exceeds the bound.
    std::optional<std::string> recordRun(TimePoint now, bool isInTouch);

    size_t runs() const { return runs_.size(); }

private:
    std::string target_;
    std::vector<TimePoint> runs_;
    int lateRuns_ = 0; // Runs in touch after the word of the third crash has spread.
};

}
