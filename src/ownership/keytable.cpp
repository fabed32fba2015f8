#include "ownership/keytable.h"

#include "config/configuration.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    using Loads = std::map<std::string, double>; // Load per slot, keyed by instance.

    // A member is given part of another member's range only if its load is below this share of the mean.
    constexpr double minShareOfMean = 0.2;
    // An owner of at least this many ranges merges adjacent ones.
    constexpr int mergeThreshold = 8;
    // An owner of at least this many ranges merges those of all parts of a table.
    constexpr int mergeAllThreshold = 40;
    constexpr int keyCount = lastKeyNumber + 1;
    constexpr int maxParts = 1'024;
    // A service with fewer members has one part, since most of its changes would affect several.
    constexpr size_t minMembersForParts = 16;
    constexpr size_t membersPerPart = 4;
    constexpr int maxNewParts = 32;
    // The number of fences of an era. They are written out in each answer to a report.
    constexpr int eraFenceShift = 28;

    const KeyMember* findMember(const std::vector<KeyMember>& members, const std::string& instance)
    {
        for (const KeyMember& member : members) {
            if (member.instance == instance)
                return &member;
        }
        return nullptr;
    }

    int64_t nextFence(const stored::KeyTable& table, int64_t fence)
    {
        return std::max(fence, fenceFloor(table)) + 1;
    }

    void assignOwner(const stored::KeyTable& table, stored::KeyRange& range, const KeyMember& member)
    {
        range.instance = member.instance;
        range.server = member.server.id;
        range.serverStartedMs = member.server.startedMs;
        range.target.clear();
        range.fence = nextFence(table, range.fence);
    }

    void clearOwner(const stored::KeyTable& table, stored::KeyRange& range)
    {
        range.server.clear();
        range.serverStartedMs = 0;
        range.handover.clear();
        range.target.clear();
        range.fence = nextFence(table, range.fence);
    }

    // The load of each member that accepts keys, as it will be once the moves in progress are complete.
    Loads loadsOf(const KeyPlanInput& input)
    {
        Loads loads;
        for (const KeyMember& member : input.members) {
            if (member.acceptsKeys)
                loads[member.instance] = 0;
        }
        for (const stored::KeyRange& range : input.table.ranges) {
            const std::string& destination = range.target.empty() ? range.instance : range.target;
            const auto found = loads.find(destination);
            if (found != loads.end())
                found->second += input.weight(range);
        }
        for (const KeyMember& member : input.members) {
            if (member.acceptsKeys)
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

    bool doesMemberAcceptKeys(const KeyPlanInput& input, const std::string& instance)
    {
        const KeyMember* member = findMember(input.members, instance);
        return member && member->acceptsKeys;
    }

    // Selects the member that gets the next range. The member that got the previous range is preferred, so
    // that adjacent ranges stay together, until its load reaches the mean; then the least loaded member is
    // selected.
    class RecipientSelector {
    public:
        RecipientSelector(const KeyPlanInput& input, Loads loads)
            : input_(input)
            , loads_(std::move(loads))
        {
            double weight = 0;
            double slots = 0;
            for (const stored::KeyRange& range : input.table.ranges)
                weight += input.weight(range);
            for (const KeyMember& member : input.members)
                slots += member.acceptsKeys ? member.slots : 0;
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

    // Assigns the ranges without an owner and sets the targets of ranges whose member is leaving.
    bool assignRanges(const KeyPlanInput& input, const Loads& loads, std::vector<stored::KeyRange>& ranges)
    {
        RecipientSelector recipients(input, loads);
        bool hasChanged = false;
        for (stored::KeyRange& range : ranges) {
            const bool wasCarried = isCarried(input.table, range);
            const bool isFrozen = wasCarried && !input.isSettled;
            if (isOwned(range) && !isFrozen && input.isLapsed(range.instance))
                clearOwner(input.table, range);
            const bool isTargetGone = !range.target.empty() && !doesMemberAcceptKeys(input, range.target);
            if (!isOwned(range)) {
                if (isFrozen)
                    continue;
                assignOwner(input.table, range, recipients.next(range));
            } else if (wasCarried && !isFrozen) {
                range.fence = nextFence(input.table, range.fence);
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

    // If the least loaded member has hardly any load, makes it the target for the upper part of the heaviest
    // range of the most loaded member.
    bool offloadToIdleMember(
        const KeyPlanInput& input, const Loads& loads, std::vector<stored::KeyRange>& ranges)
    {
        double sum = 0;
        for (const auto& [instance, load] : loads)
            sum += load;
        const double mean = sum / static_cast<double>(loads.size());
        const std::string leastLoadedMember = leastLoaded(loads);
        if (loads.at(leastLoadedMember) >= mean * minShareOfMean)
            return false;
        const auto mostLoaded = std::max_element(loads.begin(), loads.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        stored::KeyRange* largest = nullptr;
        for (stored::KeyRange& range : ranges) {
            const bool isCandidate
                = range.instance == mostLoaded->first && range.target.empty() && range.last > range.first;
            if (isCandidate && (!largest || input.weight(range) > input.weight(*largest)))
                largest = &range;
        }
        if (!largest)
            return false;
        const double excess = mostLoaded->second - mean;
        const double part = std::clamp(std::min(excess, mean) / std::max(mostLoaded->second, 1e-9), 0.0, 1.0);
        const auto width = static_cast<double>(largest->last - largest->first + 1);
        const auto moved = static_cast<int64_t>(width * part);
        if (moved < 1 || moved > largest->last - largest->first)
            return false;
        stored::KeyRange rest = *largest;
        largest->last -= moved;
        rest.first = largest->last + 1;
        rest.target = leastLoadedMember;
        ranges.push_back(std::move(rest));
        return true;
    }

    // Merges adjacent ranges of one owner under the highest of their fences. Their handover data is dropped,
    // because the owner received it when it got the ranges. An owner of few ranges merges only those in parts
    // that are written anyway.
    bool mergeOwnRanges(stored::KeyTable& table, const std::string& instance,
        const ServerIncarnation& incarnation, const std::set<int>& changedParts)
    {
        std::vector<stored::KeyRange>& ranges = table.ranges;
        // Carried ranges are recognized by their fences.
        const auto isOwn = [&](const stored::KeyRange& range) {
            return range.instance == instance && incarnationOf(range) == incarnation && range.target.empty()
                && !isCarried(table, range);
        };
        const auto count = std::count_if(ranges.begin(), ranges.end(), isOwn);
        if (count < mergeThreshold)
            return false;
        const bool isAnyPartMerged = partCount(table) == 1 || count >= mergeAllThreshold;
        bool hasChanged = false;
        std::vector<stored::KeyRange> merged;
        for (stored::KeyRange& range : ranges) {
            const int part = partOf(table, range.first);
            const bool isMergeable = !merged.empty() && isOwn(merged.back()) && isOwn(range)
                && partOf(table, merged.back().first) == part
                && (isAnyPartMerged || changedParts.count(part) > 0);
            if (isMergeable) {
                merged.back().last = range.last;
                merged.back().fence = std::max(merged.back().fence, range.fence);
                merged.back().handover.clear();
                hasChanged = true;
            } else {
                merged.push_back(std::move(range));
            }
        }
        ranges = std::move(merged);
        return hasChanged;
    }

    bool differOnlyInBounds(const stored::KeyRange& left, const stored::KeyRange& right)
    {
        return left.instance == right.instance && incarnationOf(left) == incarnationOf(right)
            && left.fence == right.fence && left.handover == right.handover && left.target == right.target;
    }

    bool areEqual(const stored::KeyRange& left, const stored::KeyRange& right)
    {
        return left.first == right.first && left.last == right.last && differOnlyInBounds(left, right);
    }

    int64_t firstKeyOf(int part, int parts)
    {
        return static_cast<int64_t>(part) * keyCount / parts;
    }

    // Cuts the ranges that extend over several parts.
    void cutAtParts(stored::KeyTable& table)
    {
        std::vector<stored::KeyRange> cut;
        for (stored::KeyRange range : table.ranges) {
            while (partOf(table, range.first) != partOf(table, range.last)) {
                stored::KeyRange piece = range;
                piece.last = firstKeyOf(partOf(table, range.first) + 1, partCount(table)) - 1;
                range.first = piece.last + 1;
                cut.push_back(std::move(piece));
            }
            cut.push_back(std::move(range));
        }
        table.ranges = std::move(cut);
    }

    // Sorts the ranges and merges adjacent ones that differ only in their bounds.
    void normalize(stored::KeyTable& table)
    {
        std::vector<stored::KeyRange>& ranges = table.ranges;
        std::sort(ranges.begin(), ranges.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
        std::vector<stored::KeyRange> merged;
        for (stored::KeyRange& range : ranges) {
            const bool isMergeable = !merged.empty() && differOnlyInBounds(merged.back(), range)
                && partOf(table, merged.back().first) == partOf(table, range.first);
            if (isMergeable)
                merged.back().last = range.last;
            else
                merged.push_back(std::move(range));
        }
        ranges = std::move(merged);
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

int64_t fenceFloor(const stored::KeyTable& table)
{
    return std::max<int64_t>(table.era.value_or(0), 0) << eraFenceShift;
}

bool isCarried(const stored::KeyTable& table, const stored::KeyRange& range)
{
    return table.era.value_or(0) > 0 && range.fence <= fenceFloor(table);
}

int partCount(const stored::KeyTable& table)
{
    return static_cast<int>(std::clamp<int64_t>(table.parts.value_or(1), 1, maxParts));
}

int partOf(const stored::KeyTable& table, int64_t key)
{
    const int parts = partCount(table);
    auto part = static_cast<int>(key * parts / keyCount);
    // The first key of a part is rounded down.
    if (part + 1 < parts && key >= firstKeyOf(part + 1, parts))
        ++part;
    return part;
}

int partCountFor(size_t members)
{
    if (members < minMembersForParts)
        return 1;
    int parts = 1;
    while (static_cast<size_t>(parts) * membersPerPart < members && parts < maxNewParts)
        parts *= 2;
    return parts;
}

std::vector<stored::KeyRange> rangesOfPart(const stored::KeyTable& table, int part)
{
    std::vector<stored::KeyRange> ranges;
    std::copy_if(table.ranges.begin(), table.ranges.end(), std::back_inserter(ranges),
        [&](const stored::KeyRange& range) { return partOf(table, range.first) == part; });
    return ranges;
}

stored::KeyRange emptyPart(const stored::KeyTable& table, int part)
{
    stored::KeyRange range {};
    range.first = firstKeyOf(part, partCount(table));
    range.last = firstKeyOf(part + 1, partCount(table)) - 1;
    return range;
}

std::optional<int> firstChangedPart(const stored::KeyTable& before, const stored::KeyTable& after)
{
    const auto [left, right] = std::mismatch(
        before.ranges.begin(), before.ranges.end(), after.ranges.begin(), after.ranges.end(), areEqual);
    if (left == before.ranges.end() && right == after.ranges.end())
        return std::nullopt;
    const int last = partCount(after) - 1;
    const int leftPart = left == before.ranges.end() ? last : partOf(after, left->first);
    const int rightPart = right == after.ranges.end() ? last : partOf(after, right->first);
    return std::min(leftPart, rightPart);
}

std::optional<int> firstPartOwnedBy(const stored::KeyTable& table, const std::string& instance, int from)
{
    std::optional<int> first;
    for (const stored::KeyRange& range : table.ranges) {
        const int part = partOf(table, range.first);
        const bool isOwn = range.instance == instance && isOwned(range) && !isCarried(table, range);
        if (isOwn && part >= from && (!first || part < *first))
            first = part;
    }
    return first;
}

stored::KeyTable withPartOf(const stored::KeyTable& table, const stored::KeyTable& source, int part)
{
    stored::KeyTable result = table;
    auto& ranges = result.ranges;
    ranges.erase(std::remove_if(ranges.begin(), ranges.end(),
                     [&](const stored::KeyRange& range) { return partOf(table, range.first) == part; }),
        ranges.end());
    for (stored::KeyRange& range : rangesOfPart(source, part))
        ranges.push_back(std::move(range));
    std::sort(ranges.begin(), ranges.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    return result;
}

std::optional<stored::KeyTable> firstTable(
    const std::string& service, const std::vector<KeyMember>& members, int parts, int64_t era)
{
    int64_t slots = 0;
    for (const KeyMember& member : members)
        slots += member.acceptsKeys ? member.slots : 0;
    if (slots == 0)
        return std::nullopt;
    stored::KeyTable table;
    table.service = service;
    if (parts > 1)
        table.parts = parts;
    if (era > 0)
        table.era = era;
    int64_t before = 0;
    for (const KeyMember& member : members) {
        if (!member.acceptsKeys)
            continue;
        stored::KeyRange range {};
        range.first = before * keyCount / slots;
        before += member.slots;
        range.last = before * keyCount / slots - 1;
        assignOwner(table, range, member);
        table.ranges.push_back(std::move(range));
    }
    cutAtParts(table);
    return table;
}

std::optional<stored::KeyTable> planTable(const KeyPlanInput& input)
{
    const Loads loads = loadsOf(input);
    if (loads.empty())
        return std::nullopt;
    stored::KeyTable table = input.table;
    if (!assignRanges(input, loads, table.ranges) && !offloadToIdleMember(input, loads, table.ranges))
        return std::nullopt;
    normalize(table);
    return table;
}

std::optional<stored::KeyTable> transferOwnRanges(
    const stored::KeyTable& table, const OwnServer& own, const std::vector<KeyMember>& members)
{
    stored::KeyTable result = table;
    std::set<int> changedParts;
    for (stored::KeyRange& range : result.ranges) {
        const bool isValid = !own.isValid || own.isValid(range);
        if (range.instance != own.instance || !isOwned(range) || !isValid)
            continue;
        const bool isOfEarlierIncarnation = !own.incarnation || incarnationOf(range) != *own.incarnation;
        const KeyMember* target = findMember(members, range.target);
        const bool hasOwnerEnded = own.haveEarlierGrantsEnded
            || (own.incarnation && own.isOnlyServerAtAddress
                && range.serverStartedMs < own.incarnation->startedMs);
        if (isOfEarlierIncarnation && hasOwnerEnded) {
            clearOwner(table, range);
            if (target && target->acceptsKeys)
                assignOwner(table, range, *target);
            else if (own.incarnation && own.acceptsKeys)
                assignOwner(table, range, { own.instance, *own.incarnation, true, false, 1 });
            changedParts.insert(partOf(table, range.first));
        } else if (!isOfEarlierIncarnation && target && target->acceptsKeys && own.isReleased(range)) {
            range.handover = own.handover(range);
            assignOwner(table, range, *target);
            changedParts.insert(partOf(table, range.first));
        }
    }
    const bool hasMerged
        = own.incarnation && mergeOwnRanges(result, own.instance, *own.incarnation, changedParts);
    if (changedParts.empty() && !hasMerged)
        return std::nullopt;
    normalize(result);
    return result;
}

std::optional<stored::KeyTable> clearOwners(const stored::KeyTable& table, const std::string& instance)
{
    stored::KeyTable result = table;
    bool hasChanged = false;
    for (stored::KeyRange& range : result.ranges) {
        if (range.instance != instance || !isOwned(range) || isCarried(table, range))
            continue;
        clearOwner(table, range);
        hasChanged = true;
    }
    return hasChanged ? std::optional(result) : std::nullopt;
}

}
