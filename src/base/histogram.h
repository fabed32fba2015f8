#pragma once

#include "base/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonfield {

// A latency histogram with fixed bucket bounds. Thread-safe.
class Histogram {
public:
    void observe(Duration duration);

    // Cumulative buckets, sum and count in the Prometheus text format. `label` is empty or `name="value"`.
    std::string exposition(std::string_view name, std::string_view label) const;

private:
    // The range is from the latency of one hop between instances to the longest timeout of callers.
    static constexpr std::array<int64_t, 13> boundsInMilliseconds { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000,
        2'000, 5'000, 10'000 };

    std::array<std::atomic<int64_t>, boundsInMilliseconds.size() + 1> buckets_ {};
    std::atomic<int64_t> nanoseconds_ { 0 };
};

}
