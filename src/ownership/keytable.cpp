#include "ownership/keytable.h"

#include "config/configuration.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    using Loads = std::map<std::string, double>; // By instance, per slot.

    // A member without keys is given a part only when it lacks more than this share of the mean.
    constexpr double leastShareOfMean = 0.2;
    // An owner of so many ranges joins neighbouring ones.
    constexpr int rangesToJoin = 8;
    constexpr int keyCount = lastKeyNumber + 1;

    const KeyMember* findMember(const std::vector<KeyMember>& members, const std::string& instance)
    {
        for (const KeyMember& member : members) {
            if (member.instance == instance)
                return &member;
        }
        return nullptr;
    }

    void giveTo(stored::KeyRange& range, const KeyMember& member)
    {
        range.instance = member.instance;
        range.server = member.server.id;
        range.serverStartedMs = member.server.startedMs;
        range.target.clear();
        ++range.fence;
    }

    void giveToNobody(stored::KeyRange& range)
    {
        range.server.clear();
        range.serverStartedMs = 0;
        range.handover.clear();
        range.target.clear();
        ++range.fence;
    }

    // The load that each member that takes keys has, or will have once the moves under way are done.
    Loads loadsOf(const KeyPlanInput& input)
    {
        Loads loads;
        for (const KeyMember& member : input.members) {
            if (member.takesKeys)
                loads[member.instance] = 0;
        }
        for (const stored::KeyRange& range : input.table.ranges) {
            const std::string& holder = range.target.empty() ? range.instance : range.target;
            const auto found = loads.find(holder);
            if (found != loads.end())
                found->second += input.weight(range);
        }
        for (const KeyMember& member : input.members) {
            if (member.takesKeys)
                loads[member.instance] /= std::max(1, member.slots);
        }
        return loads;
    }

    std::string leastLoaded(const Loads& loads)
    {
        const auto least = std::min_element(loads.begin(), loads.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        return least->first;
    }

    bool isMemberLeaving(const KeyPlanInput& input, const std::string& instance)
    {
        const KeyMember* member = findMember(input.members, instance);
        return member && member->isLeaving;
    }

    bool isMemberTakingKeys(const KeyPlanInput& input, const std::string& instance)
    {
        const KeyMember* member = findMember(input.members, instance);
        return member && member->takesKeys;
    }

    // Who gets the next range: the one that got the last, so that neighbours stay together, until it has more
    // than the mean, then the least loaded.
    class Recipients {
    public:
        Recipients(const KeyPlanInput& input, Loads loads)
            : input_(input)
            , loads_(std::move(loads))
        {
            double weight = 0;
            double slots = 0;
            for (const stored::KeyRange& range : input.table.ranges)
                weight += input.weight(range);
            for (const KeyMember& member : input.members)
                slots += member.takesKeys ? member.slots : 0;
            mean_ = weight / std::max(1.0, slots);
        }

        const KeyMember& next(const stored::KeyRange& range)
        {
            if (last_.empty() || loads_[last_] >= mean_)
                last_ = leastLoaded(loads_);
            const KeyMember& member = *findMember(input_.members, last_);
            loads_[last_] += input_.weight(range) / std::max(1, member.slots);
            return member;
        }

    private:
        const KeyPlanInput& input_;
        Loads loads_;
        double mean_ = 0;
        std::string last_;
    };

    // Gives away what has no owner, and marks what has to leave.
    bool assignRanges(const KeyPlanInput& input, const Loads& loads, std::vector<stored::KeyRange>& ranges)
    {
        Recipients recipients(input, loads);
        bool hasChanged = false;
        for (stored::KeyRange& range : ranges) {
            if (isOwned(range) && input.isLapsed(range.instance))
                giveToNobody(range);
            const bool isTargetGone = !range.target.empty() && !isMemberTakingKeys(input, range.target);
            if (!isOwned(range)) {
                giveTo(range, recipients.next(range));
            } else if (isMemberLeaving(input, range.instance)) {
                if (!range.target.empty() && !isTargetGone)
                    continue;
                range.target = recipients.next(range).instance;
            } else if (isTargetGone) {
                range.target.clear();
            } else {
                continue;
            }
            hasChanged = true;
        }
        return hasChanged;
    }

    // Moves the end of the largest range of the most loaded member to one that has nearly nothing.
    bool fillEmptyMember(const KeyPlanInput& input, const Loads& loads, std::vector<stored::KeyRange>& ranges)
    {
        double sum = 0;
        for (const auto& [instance, load] : loads)
            sum += load;
        const double mean = sum / static_cast<double>(loads.size());
        const std::string poorest = leastLoaded(loads);
        if (loads.at(poorest) >= mean * leastShareOfMean)
            return false;
        const auto richest = std::max_element(loads.begin(), loads.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        stored::KeyRange* largest = nullptr;
        for (stored::KeyRange& range : ranges) {
            const bool isCandidate
                = range.instance == richest->first && range.target.empty() && range.last > range.first;
            if (isCandidate && (!largest || input.weight(range) > input.weight(*largest)))
                largest = &range;
        }
        if (!largest)
            return false;
        const double excess = richest->second - mean;
        const double part = std::clamp(std::min(excess, mean) / std::max(richest->second, 1e-9), 0.0, 1.0);
        const auto width = static_cast<double>(largest->last - largest->first + 1);
        const auto moved = static_cast<int64_t>(width * part);
        if (moved < 1 || moved > largest->last - largest->first)
            return false;
        stored::KeyRange rest = *largest;
        largest->last -= moved;
        rest.first = largest->last + 1;
        rest.target = poorest;
        ranges.push_back(std::move(rest));
        return true;
    }

    // Joins neighbouring ranges of one owner under the highest of their fences. Their handovers were taken
    // when the owner got them.
    bool joinOwnRanges(
        std::vector<stored::KeyRange>& ranges, const std::string& instance, const ServerLife& life)
    {
        const auto isOwn = [&](const stored::KeyRange& range) {
            return range.instance == instance && lifeOf(range) == life && range.target.empty();
        };
        if (std::count_if(ranges.begin(), ranges.end(), isOwn) < rangesToJoin)
            return false;
        bool hasChanged = false;
        std::vector<stored::KeyRange> joined;
        for (stored::KeyRange& range : ranges) {
            const bool isNeighbour = !joined.empty() && isOwn(joined.back()) && isOwn(range);
            if (isNeighbour) {
                joined.back().last = range.last;
                joined.back().fence = std::max(joined.back().fence, range.fence);
                joined.back().handover.clear();
                hasChanged = true;
            } else {
                joined.push_back(std::move(range));
            }
        }
        ranges = std::move(joined);
        return hasChanged;
    }

    bool isSameOwner(const stored::KeyRange& left, const stored::KeyRange& right)
    {
        return left.instance == right.instance && lifeOf(left) == lifeOf(right) && left.fence == right.fence
            && left.handover == right.handover && left.target == right.target;
    }

    // Sorts the ranges and joins neighbours that cannot be told apart.
    void normalize(std::vector<stored::KeyRange>& ranges)
    {
        std::sort(ranges.begin(), ranges.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
        std::vector<stored::KeyRange> joined;
        for (stored::KeyRange& range : ranges) {
            if (!joined.empty() && isSameOwner(joined.back(), range))
                joined.back().last = range.last;
            else
                joined.push_back(std::move(range));
        }
        ranges = std::move(joined);
    }

}

const stored::KeyRange* findRange(const stored::KeyTable& table, int key)
{
    const auto after = std::upper_bound(table.ranges.begin(), table.ranges.end(), key,
        [](int number, const stored::KeyRange& range) { return number < range.first; });
    if (after == table.ranges.begin())
        return nullptr;
    const stored::KeyRange& range = *std::prev(after);
    return key <= range.last ? &range : nullptr;
}

std::optional<stored::KeyTable> firstTable(const std::string& service, const std::vector<KeyMember>& members)
{
    int64_t slots = 0;
    for (const KeyMember& member : members)
        slots += member.takesKeys ? member.slots : 0;
    if (slots == 0)
        return std::nullopt;
    stored::KeyTable table;
    table.service = service;
    int64_t before = 0;
    for (const KeyMember& member : members) {
        if (!member.takesKeys)
            continue;
        stored::KeyRange range {};
        range.first = before * keyCount / slots;
        before += member.slots;
        range.last = before * keyCount / slots - 1;
        giveTo(range, member);
        table.ranges.push_back(std::move(range));
    }
    return table;
}

std::optional<stored::KeyTable> planTable(const KeyPlanInput& input)
{
    const Loads loads = loadsOf(input);
    if (loads.empty())
        return std::nullopt;
    stored::KeyTable table = input.table;
    if (!assignRanges(input, loads, table.ranges) && !fillEmptyMember(input, loads, table.ranges))
        return std::nullopt;
    normalize(table.ranges);
    return table;
}

std::optional<stored::KeyTable> settleTable(
    const stored::KeyTable& table, const OwnServer& own, const std::vector<KeyMember>& members)
{
    stored::KeyTable settled = table;
    bool hasChanged = false;
    for (stored::KeyRange& range : settled.ranges) {
        if (range.instance != own.instance || !isOwned(range))
            continue;
        const bool isOfEarlierLife = !own.life || lifeOf(range) != *own.life;
        const KeyMember* target = findMember(members, range.target);
        const bool hasOwnerEnded = own.hasEarlierGrantsEnded
            || (own.life && own.isAloneAtAddress && range.serverStartedMs < own.life->startedMs);
        if (isOfEarlierLife && hasOwnerEnded) {
            giveToNobody(range);
            if (target && target->takesKeys)
                giveTo(range, *target);
            else if (own.life && own.takesKeys)
                giveTo(range, { own.instance, *own.life, true, false, 1 });
            hasChanged = true;
        } else if (!isOfEarlierLife && target && target->takesKeys && own.isReleased(range)) {
            range.handover = own.handover(range);
            giveTo(range, *target);
            hasChanged = true;
        }
    }
    if (own.life)
        hasChanged = joinOwnRanges(settled.ranges, own.instance, *own.life) || hasChanged;
    if (!hasChanged)
        return std::nullopt;
    normalize(settled.ranges);
    return settled;
}

std::optional<stored::KeyTable> confirmTable(const stored::KeyTable& table, const std::string& instance)
{
    stored::KeyTable confirmed = table;
    bool hasChanged = false;
    for (stored::KeyRange& range : confirmed.ranges) {
        if (range.instance != instance || !isOwned(range))
            continue;
        giveToNobody(range);
        hasChanged = true;
    }
    return hasChanged ? std::optional(confirmed) : std::nullopt;
}

}
