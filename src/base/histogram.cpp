#include "base/histogram.h"

#include <fmt/format.h>

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr double millisecondsInSecond = 1'000;

}

void Histogram::observe(Duration duration)
{
    const auto fits = [duration](int64_t bound) { return duration <= Milliseconds(bound); };
    const auto bucket = std::find_if(boundsInMilliseconds.begin(), boundsInMilliseconds.end(), fits);
    buckets_[static_cast<size_t>(bucket - boundsInMilliseconds.begin())]++;
    nanoseconds_ += duration.count();
}

std::string Histogram::exposition(std::string_view name, std::string_view label) const
{
    std::string text;
    int64_t count = 0;
    for (size_t i = 0; i < buckets_.size(); ++i) {
        count += buckets_[i];
        const std::string bound = i < boundsInMilliseconds.size()
            ? fmt::format("{}", static_cast<double>(boundsInMilliseconds[i]) / millisecondsInSecond)
            : "+Inf";
        text += fmt::format(
            "{}_bucket{{{}{}le=\"{}\"}} {}\n", name, label, label.empty() ? "" : ",", bound, count);
    }
    const std::string labels = label.empty() ? std::string() : fmt::format("{{{}}}", label);
    const std::chrono::duration<double> sum = Duration(nanoseconds_);
    text += fmt::format("{}_sum{} {}\n", name, labels, sum.count());
    text += fmt::format("{}_count{} {}\n", name, labels, count);
    return text;
}

}
