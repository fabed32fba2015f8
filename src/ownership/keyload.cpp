#include "ownership/keyload.h"

#include "config/configuration.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    constexpr std::chrono::seconds decayInterval { 1 };
    constexpr double decayFactor = 0.5;
    // Bounds of the weight of a part that is moved, relative to the wanted weight.
    constexpr double minPart = 0.4;
    constexpr double maxPart = 1.25;

    struct Part {
        size_t range = 0;
        int64_t first = 0;
        int64_t last = 0;
        double weightError = 0; // Difference between its weight and the wanted one.
    };

    // Returns the part of one range whose weight is closest to the wanted one. Inside the range it is cut
    // only between groups of keys.
    std::optional<Part> bestPart(
        const stored::KeyRange& range, size_t index, const KeyLoad& load, double wanted)
    {
        std::vector<int64_t> cuts { range.first };
        for (int64_t cut = (range.first / KeyLoad::groupSize + 1) * KeyLoad::groupSize; cut <= range.last;
             cut += KeyLoad::groupSize)
            cuts.push_back(cut);
        cuts.push_back(range.last + 1);
        std::optional<Part> best;
        double weight = 0;
        size_t begin = 0;
        for (size_t end = 1; end < cuts.size(); ++end) {
            weight += load.weight(cuts[end - 1], cuts[end] - 1);
            while (weight > wanted * maxPart && begin < end) {
                weight -= load.weight(cuts[begin], cuts[begin + 1] - 1);
                ++begin;
            }
            if (begin == end || weight < wanted * minPart)
                continue;
            const double weightError = std::abs(weight - wanted);
            if (!best || weightError < best->weightError)
                best = Part { index, cuts[begin], cuts[end] - 1, weightError };
        }
        return best;
    }

}

KeyLoad::KeyLoad()
    : groups_(lastKeyNumber / groupSize + 1)
{
}

void KeyLoad::recordRequest(int key, TimePoint now)
{
    decay(now);
    groups_[static_cast<size_t>(key / groupSize)] += 1;
}

void KeyLoad::decay(TimePoint now)
{
    if (now - decayedAt_ < decayInterval)
        return;
    decayedAt_ = now;
    for (double& group : groups_)
        group *= decayFactor;
}

double KeyLoad::weight(int64_t first, int64_t last) const
{
    double sum = 0;
    for (int64_t group = first / groupSize; group <= last / groupSize; ++group) {
        const int64_t from = std::max(first, group * groupSize);
        const int64_t to = std::min(last, group * groupSize + groupSize - 1);
        sum += groups_[static_cast<size_t>(group)] * static_cast<double>(to - from + 1) / groupSize;
    }
    return sum;
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
        if (part && (!best || part->weightError < best->weightError))
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
