#include "sidecar/zonesout.h"

#include "base/logger.h"

#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // The other half of the bound is left for learning that the zone was taken out.
    constexpr int partForMoves = 2;

}

ZonesOut::ZonesOut(Duration bound)
    : keysMayStayFor_(bound / partForMoves)
{
}

bool ZonesOut::take(const StorePage& page, bool isWhole, TimePoint now)
{
    std::map<std::string, TimePoint> zones = isWhole ? std::map<std::string, TimePoint>() : since_;
    // A listing does not tell how long a zone has been out: its keys may have stayed their time already.
    const TimePoint since = isWhole ? now - keysMayStayFor_ : now;
    for (const StoreObject& object : page.objects) {
        const auto known = since_.find(object.name);
        if (object.isDeleted)
            zones.erase(object.name);
        else
            zones[object.name] = known == since_.end() ? since : known->second;
    }
    const bool isFirst = isWhole && !std::exchange(areKnown_, true);
    const bool hasChanged = zones != since_;
    since_ = std::move(zones);
    if (!isFirst && !hasChanged)
        return false;
    std::set<std::string> names;
    for (const auto& [zone, outSince] : since_)
        names.insert(zone);
    log(LogLevel::Info, "zones-out",
        { { "zones", names }, { "revision", page.revision },
            { "learnedBy", isWhole ? "listing" : "event" } });
    return true;
}

ZoneUse ZonesOut::use(const std::string& zone, TimePoint now) const
{
    if (!areKnown_)
        return ZoneUse::Nothing;
    const auto out = since_.find(zone);
    if (out == since_.end())
        return ZoneUse::Everything;
    return now < out->second + keysMayStayFor_ ? ZoneUse::OwnedKeys : ZoneUse::Nothing;
}

std::optional<Duration> ZonesOut::outFor(const std::string& zone, TimePoint now) const
{
    const auto out = since_.find(zone);
    return out == since_.end() ? std::nullopt : std::optional(now - out->second);
}

}
