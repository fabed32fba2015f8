#include "ownership/keyload.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr std::chrono::seconds decayInterval { 1 };
    constexpr double decayFactor = 0.5;
    // Weights below this are forgotten.
    constexpr double minWeight = 0.05;
    // Bounds of the weight of a part that is moved, relative to the wanted weight.
    constexpr double minPart = 0.4;
    constexpr double maxPart = 1.25;
    // Parts whose weight differs from the wanted one by at most this share of it are equally good.
    constexpr double weightTolerance = 0.1;

    struct Part {
        size_t range = 0;
        int64_t first = 0;
        int64_t last = 0;
        double weightError = 0; // Above the tolerance, relative to the wanted weight.

        bool operator<(const Part& other) const
        {
            return std::pair(weightError, last - first)
                < std::pair(other.weightError, other.last - other.first);
        }
    };

    // The best part that consists of adjacent loaded keys and the idle keys between them.
    std::optional<Part> bestPart(
        const stored::KeyRange& range, size_t index, const KeyLoad& load, double wanted)
    {
        const std::vector<int64_t> keys = load.loadedKeys(range.first, range.last);
        std::optional<Part> best;
        double weight = 0;
        size_t begin = 0;
        for (size_t end = 0; end < keys.size(); ++end) {
            weight += load.weight(keys[end], keys[end]);
            while (weight > wanted * maxPart) {
                weight -= load.weight(keys[begin], keys[begin]);
                ++begin;
            }
            if (begin > end || weight < wanted * minPart)
                continue;
            const double error = std::abs(weight - wanted) / wanted;
            const Part part { index, keys[begin], keys[end], std::max(0.0, error - weightTolerance) };
            if (!best || part < *best)
                best = part;
        }
        return best;
    }

}

void KeyLoad::recordRequest(int key, TimePoint now)
{
    decay(now);
    weights_[key] += 1;
}

void KeyLoad::decay(TimePoint now)
{
    if (now - decayedAt_ < decayInterval)
        return;
    decayedAt_ = now;
    for (auto weight = weights_.begin(); weight != weights_.end();) {
        weight->second *= decayFactor;
        weight = weight->second < minWeight ? weights_.erase(weight) : std::next(weight);
    }
}

double KeyLoad::weight(int64_t first, int64_t last) const
{
    double sum = 0;
    for (auto each = weights_.lower_bound(first); each != weights_.end() && each->first <= last; ++each)
        sum += each->second;
    return sum;
}

std::vector<int64_t> KeyLoad::loadedKeys(int64_t first, int64_t last) const
{
    std::vector<int64_t> keys;
    for (auto each = weights_.lower_bound(first); each != weights_.end() && each->first <= last; ++each)
        keys.push_back(each->first);
    return keys;
}

std::optional<stored::KeyTable> offloadKeys(const stored::KeyTable& table, const std::string& instance,
    const KeyLoad& load, double share, const std::string& target)
{
    const auto isOwn
        = [&instance](const stored::KeyRange& range) { return range.instance == instance && isOwned(range); };
    double own = 0;
    for (const stored::KeyRange& range : table.ranges)
        own += isOwn(range) ? load.weight(range.first, range.last) : 0;
    std::optional<Part> best;
    for (size_t i = 0; i < table.ranges.size(); ++i) {
        if (!isOwn(table.ranges[i]) || !table.ranges[i].target.empty())
            continue;
        const auto part = bestPart(table.ranges[i], i, load, own * share);
        if (part && (!best || *part < *best))
            best = part;
    }
    if (!best)
        return std::nullopt;
    stored::KeyTable result = table;
    const stored::KeyRange whole = table.ranges[best->range];
    stored::KeyRange moving = whole;
    moving.first = best->first;
    moving.last = best->last;
    moving.target = target;
    std::vector<stored::KeyRange> parts;
    if (whole.first < moving.first) {
        parts.push_back(whole);
        parts.back().last = moving.first - 1;
    }
    parts.push_back(moving);
    if (moving.last < whole.last) {
        parts.push_back(whole);
        parts.back().first = moving.last + 1;
    }
    const auto place = result.ranges.erase(result.ranges.begin() + static_cast<std::ptrdiff_t>(best->range));
    result.ranges.insert(place, parts.begin(), parts.end());
    return result;
}

}
