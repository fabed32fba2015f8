#pragma once

#include "base/time.h"
#include "store/storedialect.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonfield {

// What may be sent to the servers of an availability zone.
enum class ZoneUse {
    Everything,
    OwnedKeys, // The zone was taken out just now: only requests for keys that have yet to move.
    Nothing,
};

// The availability zones that are taken out, as the store last told them. Pure.
class ZonesOut {
public:
    // `bound`: the time after which a zone that was taken out must get nothing any more.
    explicit ZonesOut(Duration bound);

    // Takes objects of the kind that names the zones; answers whether the zones have changed or are known for
    // the first time.
    bool take(const StorePage& page, bool isWhole, TimePoint now);

    // Whether the zones were ever listed; until then each counts as out.
    bool areKnown() const { return areKnown_; }
    bool isOut(const std::string& zone) const { return !areKnown_ || since_.count(zone) > 0; }
    ZoneUse use(const std::string& zone, TimePoint now) const;

    // How long the zone has been out, as far as that is known; nothing while it is in use.
    std::optional<Duration> outFor(const std::string& zone, TimePoint now) const;

private:
    Duration keysMayStayFor_; // From when an instance has learned that their zone is out.
    bool areKnown_ = false;
    std::map<std::string, TimePoint> since_; // By zone that is out.
};

}
