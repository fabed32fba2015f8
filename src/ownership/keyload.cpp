#include "ownership/keyload.h"

#include "config/configuration.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    constexpr std::chrono::seconds ageInterval { 1 };
    constexpr double agedPart = 0.5;
    // A part that is moved may weigh so much of what is wanted, at least and at most.
    constexpr double leastPart = 0.4;
    constexpr double mostPart = 1.25;

    struct Part {
        size_t range = 0;
        int64_t first = 0;
        int64_t last = 0;
        double missedBy = 0; // How far its weight is from the wanted one.
    };

    // The part of one range whose weight is nearest to the wanted one; its ends lie between groups of keys.
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
            while (weight > wanted * mostPart && begin < end) {
                weight -= load.weight(cuts[begin], cuts[begin + 1] - 1);
                ++begin;
            }
            if (begin == end || weight < wanted * leastPart)
                continue;
            const double missedBy = std::abs(weight - wanted);
            if (!best || missedBy < best->missedBy)
                best = Part { index, cuts[begin], cuts[end] - 1, missedBy };
        }
        return best;
    }

}

KeyLoad::KeyLoad()
    : groups_(lastKeyNumber / groupSize + 1)
{
}

void KeyLoad::note(int key, TimePoint now)
{
    age(now);
    groups_[static_cast<size_t>(key / groupSize)] += 1;
}

void KeyLoad::age(TimePoint now)
{
    if (now - agedAt_ < ageInterval)
        return;
    agedAt_ = now;
    for (double& group : groups_)
        group *= agedPart;
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
        if (part && (!best || part->missedBy < best->missedBy))
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
