#include "sidecar/evacuatedzones.h"

#include "base/logger.h"
#include "store/storerevision.h"

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // Half of the bound is for moving keys away; the other half is for learning of the evacuation.
    constexpr int keyMoveDivisor = 2;
    // The operator writes again what a restore has lost. By this time it has, or has removed the zone just
    // after the restore.
    constexpr Milliseconds holdTime { 30'000 };

}

EvacuatedZones::EvacuatedZones(Duration bound)
    : keyMoveTime_(bound / keyMoveDivisor)
{
}

bool EvacuatedZones::apply(const StorePage& page, bool isFullListing, TimePoint now)
{
    std::map<std::string, TimePoint> zones
        = isFullListing ? std::map<std::string, TimePoint>() : evacuatedSince_;
    // A listing does not tell when a zone was evacuated: the time for moving its keys may be over already.
    const TimePoint since = isFullListing ? now - keyMoveTime_ : now;
    for (const StoreObject& object : page.objects) {
        const auto known = evacuatedSince_.find(object.name);
        if (object.isDeleted)
            zones.erase(object.name);
        else
            zones[object.name] = known == evacuatedSince_.end() ? since : known->second;
        heldUntil_.erase(object.name);
    }
    if (isFullListing)
        holdLost(zones, std::exchange(era_, eraOf(page.revision)) != eraOf(page.revision), now);
    const bool isFirst = isFullListing && !std::exchange(areKnown_, true);
    const bool hasChanged = zones != evacuatedSince_;
    evacuatedSince_ = std::move(zones);
    if (!isFirst && !hasChanged)
        return false;
    std::set<std::string> names;
    for (const auto& [zone, evacuatedAt] : evacuatedSince_)
        names.insert(zone);
    log(LogLevel::Info, "zones-out",
        { { "zones", names }, { "revision", page.revision },
            { "learnedBy", isFullListing ? "listing" : "event" } });
    return true;
}

// Adds the zones that the listing lacks only because of a restore.
void EvacuatedZones::holdLost(std::map<std::string, TimePoint>& zones, bool isNewEra, TimePoint now)
{
    std::set<std::string> held;
    for (const auto& [zone, evacuatedAt] : evacuatedSince_) {
        const bool isHeld = zones.count(zone) == 0 && (isNewEra || heldUntil_.count(zone) > 0);
        if (!isHeld)
            continue;
        zones[zone] = evacuatedAt;
        if (heldUntil_.emplace(zone, now + holdTime).second)
            held.insert(zone);
    }
    if (!held.empty())
        log(LogLevel::Warning, "zones-held",
            { { "zones", held }, { "era", era_ },
                { "forMs", std::chrono::duration_cast<Milliseconds>(holdTime).count() } });
}

std::optional<TimePoint> EvacuatedZones::heldUntil() const
{
    std::optional<TimePoint> first;
    for (const auto& [zone, until] : heldUntil_)
        first = first ? std::min(*first, until) : until;
    return first;
}

bool EvacuatedZones::releaseHeld(TimePoint now)
{
    bool hasChanged = false;
    for (auto held = heldUntil_.begin(); held != heldUntil_.end();) {
        if (now < held->second) {
            ++held;
            continue;
        }
        log(LogLevel::Warning, "zone-released", { { "zone", held->first } });
        evacuatedSince_.erase(held->first);
        held = heldUntil_.erase(held);
        hasChanged = true;
    }
    return hasChanged;
}

ZoneTraffic EvacuatedZones::allowedTraffic(const std::string& zone, TimePoint now) const
{
    if (!areKnown_)
        return ZoneTraffic::None;
    const auto found = evacuatedSince_.find(zone);
    if (found == evacuatedSince_.end())
        return ZoneTraffic::All;
    return now < found->second + keyMoveTime_ ? ZoneTraffic::OwnedKeys : ZoneTraffic::None;
}

std::optional<Duration> EvacuatedZones::evacuatedFor(const std::string& zone, TimePoint now) const
{
    const auto found = evacuatedSince_.find(zone);
    return found == evacuatedSince_.end() ? std::nullopt : std::optional(now - found->second);
}

}
