#pragma once

#include "base/time.h"
#include "ownership/keytable.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// How many requests lately came for which keys, in small groups of neighbouring keys. Pure.
class KeyLoad {
public:
    KeyLoad();

    void note(int key, TimePoint now);

    // The weight of all keys from `first` to `last`.
    double weight(int64_t first, int64_t last) const;

    // Halves all weights once an interval has passed.
    void age(TimePoint now);

    // Keys that are weighed together.
    static constexpr int groupSize = 16;

private:
    std::vector<double> groups_;
    TimePoint agedAt_;
};

// The table after the instance has marked a part of its keys, of about `share` of its load, as moving to
// `target`. Nothing when no part of that weight can be cut out of one of its ranges.
std::optional<stored::KeyTable> offloadKeys(const stored::KeyTable& table, const std::string& instance,
    const KeyLoad& load, double share, const std::string& target);

}
