#pragma once

#include "base/histogram.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace persimmonfield {

// Registry of the counters, gauges and latency histograms of one process, with output in the Prometheus text
// exposition format.
class Counters {
public:
    using Value = std::atomic<int64_t>;

    // Returns the counter with this name and optional label, and creates it on first use. The reference stays
    // valid for the lifetime of this object.
    Value& counter(std::string_view name, std::string_view label = {}, std::string_view labelValue = {});

    // Returns the histogram with this name and optional label, like counter().
    Histogram& histogram(
        std::string_view name, std::string_view label = {}, std::string_view labelValue = {});

    // All counters, one per line and sorted by name, followed by the histograms.
    std::string exposition() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, Value> values_;
    std::map<std::pair<std::string, std::string>, Histogram> histograms_; // By name and label.
};

}
