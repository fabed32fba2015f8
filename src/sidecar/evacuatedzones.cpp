#include "sidecar/evacuatedzones.h"

#include "base/logger.h"

#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // Half of the bound is for moving keys away; the other half is for learning of the evacuation.
    constexpr int keyMoveDivisor = 2;

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
    }
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
