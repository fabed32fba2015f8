#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace persimmonfield {

// The named counters and gauges of one process, written out in the usual text exposition.
class Counters {
public:
    using Value = std::atomic<int64_t>;

    // The counter of that name, and of that label value where one is given; made when first asked for. The
    // reference stays valid as long as this object.
    Value& counter(std::string_view name, std::string_view label = {}, std::string_view labelValue = {});

    // All counters, one a line, in the order of their names.
    std::string exposition() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, Value> values_;
};

}
