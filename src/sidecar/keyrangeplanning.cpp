// What a KeyRangeManager writes next: the changes of the key table that are due.

#include "sidecar/keyrangemanager.h"

#include "base/logger.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // The first table is delayed until the number of members has not changed for this long, so that it
    // includes all instances that start together.
    constexpr Milliseconds firstTableDelay { 1'500 };
    // A server offloads keys when it has at least this number of running and waiting requests for each of its
    // slots. Only members whose number is lower by at least minBusynessGap receive them.
    constexpr double offloadThreshold = 1;
    constexpr double minBusynessGap = 0.5;
    // Long enough for the effect of one offload to show in the load before the next one.
    constexpr Milliseconds offloadInterval { 2'500 };
    // Number of candidates among which a busy server chooses those that receive its keys.
    constexpr size_t maxOffloadTargets = 32;

}

// The planner of a service is its first member, by name, that has a fresh lease.
bool KeyRangeManager::isPlanner(const std::vector<KeyMember>& members, TimePoint now) const
{
    if (now >= leases_.grantableUntil())
        return false;
    for (const KeyMember& member : members) {
        if (member.instance == options_.settings.name)
            return true;
        if (leases_.isFresh(member.instance, now))
            return false;
    }
    return false;
}

bool KeyRangeManager::mayCreateFirstTable(const std::vector<KeyMember>& members, TimePoint now)
{
    // The restore may have lost a table under which others hold keys.
    if (options_.directory->hasEarlierEntries() && !recovery_.isSettled(now))
        return false;
    if (members.size() != lastMemberCount_) {
        lastMemberCount_ = members.size();
        membersStableSince_ = now;
    }
    return now - membersStableSince_ >= firstTableDelay;
}

std::optional<stored::KeyTable> KeyRangeManager::tableAfterTransfer(
    const stored::KeyTable& table, const std::vector<KeyMember>& members, TimePoint now) const
{
    OwnServer own;
    own.instance = options_.settings.name;
    own.incarnation = options_.serverIncarnation();
    own.acceptsKeys = options_.isServerReady() && !options_.zones->isEvacuated(options_.settings.zone)
        && options_.mayOwnKeys(options_.settings.name);
    own.isOnlyServerAtAddress = isOnlyServerAtAddress_;
    own.haveEarlierGrantsEnded = own.incarnation ? granter_.haveEarlierGrantsEnded(*own.incarnation, now)
                                                 : granter_.haveAllGrantsEnded(now);
    own.isReleased = [this, now](const stored::KeyRange& range) { return granter_.isReleased(range, now); };
    own.handover = [this](const stored::KeyRange& range) { return granter_.handover(range); };
    own.isValid = [this, known = knownTable(table)](
                      const stored::KeyRange& range) { return recovery_.isValid(known, range); };
    return transferOwnRanges(table, own, members);
}

// The table that this instance has to write next; nullopt when the current one needs no change.
std::optional<stored::KeyTable> KeyRangeManager::nextTable(TimePoint now)
{
    auto members = options_.directory->keyMembers(options_.settings.service, *options_.zones);
    for (KeyMember& member : members)
        member.acceptsKeys = member.acceptsKeys && options_.mayOwnKeys(member.instance);
    const auto* known = options_.directory->keyTable(options_.settings.service);
    if (!known)
        return isPlanner(members, now) && mayCreateFirstTable(members, now)
            ? firstTable(
                options_.settings.service, members, partCountFor(members.size()), options_.directory->era())
            : std::nullopt;
    if (now < leases_.grantableUntil()) {
        if (auto table = recovery_.claimed(knownTable(known->value), now)) {
            log(LogLevel::Info, "keys-claimed", { { "era", options_.directory->era() } });
            return table;
        }
        if (auto table = tableAfterTransfer(known->value, members, now))
            return table;
        planOffload(members, now);
        if (auto table = offload_.nextTable(known->value, options_.settings.name, load_, now))
            return table;
    }
    if (!isPlanner(members, now))
        return std::nullopt;
    for (KeyMember& member : members)
        member.acceptsKeys = member.acceptsKeys && leases_.isFresh(member.instance, now);
    if (auto table = tableWithMissingParts(known->value, members))
        return table;
    if (options_.directory->era() > 0) {
        for (const stored::KeyRange& range : known->value.ranges) {
            if (isOwned(range))
                leases_.expect(range.instance, now);
        }
    }
    // The known leases may be older than the table: an instance that seems to have a lapsed lease may have
    // acquired it again before the table was last written.
    if (leases_.listedRevision() < newestLapsedRevision(known->value, now)) {
        leases_.list(false);
        return std::nullopt;
    }
    const auto isLapsed
        = [this, now](const std::string& instance) { return leases_.isLapsed(instance, now); };
    const auto weight
        = [](const stored::KeyRange& range) { return static_cast<double>(range.last - range.first + 1); };
    return planTable({ known->value, std::move(members), isLapsed, weight, recovery_.isSettled(now) });
}

// The table with the ranges of the parts that are not stored yet: after a restore of the store as they were
// known last, otherwise as in a first table.
std::optional<stored::KeyTable> KeyRangeManager::tableWithMissingParts(
    const stored::KeyTable& table, const std::vector<KeyMember>& members) const
{
    const int parts = partCount(table);
    int missing = 0;
    while (missing < parts && options_.directory->keyPartRevision(table.service, missing) > 0)
        ++missing;
    if (missing == parts)
        return std::nullopt;
    if (options_.directory->hasEarlierKeyTable(table.service))
        return table;
    const auto first
        = parts > 1 ? firstTable(table.service, members, parts, options_.directory->era()) : std::nullopt;
    return first ? std::optional(withPartOf(table, *first, missing)) : std::nullopt;
}

// The newest revision of the parts in which an instance whose lease has lapsed owns ranges.
int64_t KeyRangeManager::newestLapsedRevision(const stored::KeyTable& table, TimePoint now) const
{
    int64_t revision = 0;
    for (const stored::KeyRange& range : table.ranges) {
        if (isOwned(range) && leases_.isLapsed(range.instance, now))
            revision = std::max(revision, options_.directory->keyTableRevision(table.service, range.first));
    }
    return revision;
}

// Decides how much of the local server's load is to move to whom, if it is much busier than others.
void KeyRangeManager::planOffload(const std::vector<KeyMember>& members, TimePoint now)
{
    const double own = options_.ownBusyness(now);
    if (offload_.isOpen(now) || now < nextOffload_ || own < offloadThreshold)
        return;
    auto portions = spreadLoad(own, lessBusyMembers(members, own - minBusynessGap, now));
    if (portions.empty())
        return;
    nextOffload_ = now + offloadInterval;
    load_.decay(now);
    for (const LoadPortion& portion : portions)
        log(LogLevel::Info, "keys-offloaded",
            { { "to", portion.target }, { "share", portion.share }, { "ownBusyness", own } });
    offload_.begin(std::move(portions), now);
}

// The members that accept keys and whose busyness is at most `maxBusyness`. Of many, only a random selection,
// since other busy servers may be about to offload keys to the same members.
std::vector<MemberLoad> KeyRangeManager::lessBusyMembers(
    const std::vector<KeyMember>& members, double maxBusyness, TimePoint now)
{
    std::vector<MemberLoad> found;
    for (const KeyMember& member : members) {
        const auto busyness = options_.peerLoads->busyness(member.instance, now);
        if (member.instance != options_.settings.name && member.acceptsKeys && busyness
            && *busyness <= maxBusyness)
            found.push_back({ member.instance, *busyness,
                options_.peerLoads->capacity(member.instance, options_.settings.name, now) });
    }
    while (found.size() > maxOffloadTargets) {
        std::swap(found[random_() % found.size()], found.back());
        found.pop_back();
    }
    return found;
}

}
