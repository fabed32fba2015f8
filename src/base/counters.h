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

// The named counters, gauges and latency histograms of one process, written out in the usual text exposition.
class Counters {
public:
    using Value = std::atomic<int64_t>;

    // The counter of that name, and of that label value where one is given; made when first asked for. The
    // reference stays valid as long as this object.
    Value& counter(std::string_view name, std::string_view label = {}, std::string_view labelValue = {});

    // The histogram of that name and label value, on the same terms.
    Histogram& histogram(
        std::string_view name, std::string_view label = {}, std::string_view labelValue = {});

    // All counters, one a line, in the order of their names; then the histograms.
    std::string exposition() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, Value> values_;
    std::map<std::pair<std::string, std::string>, Histogram> histograms_; // By name and label.
};

}
