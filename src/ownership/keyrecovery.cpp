#include "ownership/keyrecovery.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // The parts of the ranges outside of `hole`.
    std::vector<stored::KeyRange> without(
        const std::vector<stored::KeyRange>& ranges, const stored::KeyRange& hole)
    {
        std::vector<stored::KeyRange> rest;
        for (const stored::KeyRange& range : ranges) {
            if (range.last < hole.first || hole.last < range.first) {
                rest.push_back(range);
                continue;
            }
            if (range.first < hole.first) {
                rest.push_back(range);
                rest.back().last = hole.first - 1;
            }
            if (hole.last < range.last) {
                rest.push_back(range);
                rest.back().first = hole.last + 1;
            }
        }
        return rest;
    }

    void sortByKey(std::vector<stored::KeyRange>& ranges)
    {
        std::sort(ranges.begin(), ranges.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
    }

}

KeyRecovery::KeyRecovery(std::string instance, Duration settlingTime)
    : instance_(std::move(instance))
    , settlingTime_(settlingTime)
{
}

void KeyRecovery::begin(std::vector<stored::KeyRange> own, TimePoint ownUntil, TimePoint now)
{
    remembered_ = std::move(own);
    for (stored::KeyRange& range : remembered_)
        range.target.clear();
    rememberedUntil_ = ownUntil;
    settledAt_ = now + settlingTime_;
}

bool KeyRecovery::remembers(const stored::KeyRange& range) const
{
    std::vector<stored::KeyRange> rest { range };
    for (const stored::KeyRange& each : remembered_) {
        if (each.fence == range.fence && incarnationOf(each) == incarnationOf(range))
            rest = without(rest, each);
    }
    return rest.empty();
}

bool KeyRecovery::isValid(const KnownKeyTable& known, const stored::KeyRange& range) const
{
    return !isCarried(known.table, range) || (known.isStored(range) && remembers(range));
}

// The remembered ranges that no stored part shows, except for those that somebody owns in the present era.
std::vector<stored::KeyRange> KeyRecovery::unconfirmed(const KnownKeyTable& known, TimePoint now) const
{
    if (remembered_.empty() || now >= rememberedUntil_)
        return {};
    std::vector<stored::KeyRange> rest = remembered_;
    for (const stored::KeyRange& range : known.table.ranges) {
        const bool isConfirmed = range.instance == instance_ && isOwned(range) && isValid(known, range);
        if (isConfirmed || !isCarried(known.table, range))
            rest = without(rest, range);
    }
    return rest;
}

stored::KeyTable KeyRecovery::grantable(const KnownKeyTable& known, TimePoint now) const
{
    stored::KeyTable result = known.table;
    result.ranges = unconfirmed(known, now);
    for (const stored::KeyRange& range : known.table.ranges) {
        if (range.instance == instance_ && isValid(known, range))
            result.ranges.push_back(range);
    }
    sortByKey(result.ranges);
    return result;
}

TimePoint KeyRecovery::grantLimit(const KnownKeyTable& known, TimePoint now) const
{
    return unconfirmed(known, now).empty() ? TimePoint::max() : rememberedUntil_;
}

std::optional<stored::KeyTable> KeyRecovery::claimed(const KnownKeyTable& known, TimePoint now) const
{
    stored::KeyTable result = known.table;
    bool hasChanged = false;
    for (const stored::KeyRange& range : unconfirmed(known, now)) {
        // Only keys of stored parts can be claimed; the others follow once their part is stored.
        for (const stored::KeyRange& shown : known.table.ranges) {
            if (!known.isStored(shown) || shown.last < range.first || range.last < shown.first)
                continue;
            stored::KeyRange claim = range;
            claim.first = std::max(range.first, shown.first);
            claim.last = std::min(range.last, shown.last);
            result.ranges = without(result.ranges, claim);
            result.ranges.push_back(std::move(claim));
            hasChanged = true;
        }
    }
    if (!hasChanged)
        return std::nullopt;
    sortByKey(result.ranges);
    return result;
}

}
