#pragma once

#include "base/time.h"
#include "ownership/keytable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// Counts recent requests by key. Does no I/O and reads no clock.
class KeyLoad {
public:
    void recordRequest(int key, TimePoint now);

    // Returns the total weight of the keys from `first` to `last`, both included.
    double weight(int64_t first, int64_t last) const;

    // Halves all weights if the decay interval has passed since they were last halved.
    void decay(TimePoint now);

    // The keys from `first` to `last` that have a weight.
    std::vector<int64_t> loadedKeys(int64_t first, int64_t last) const;

private:
    std::map<int64_t, double> weights_; // By key.
    TimePoint decayedAt_;
};

// Returns the table in which part of the instance's keys, with about `share` of its load, is marked as moving
// to `target`. Of several such parts the one with the fewest keys is taken, so that idle keys stay where they
// are. Returns nothing if none of its ranges contains a part of about that weight.
std::optional<stored::KeyTable> offloadKeys(const stored::KeyTable& table, const std::string& instance,
    const KeyLoad& load, double share, const std::string& target);

}
