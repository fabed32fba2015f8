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
    // Servers of a zone must get nothing any more `bound` after it was taken out.
    explicit ZonesOut(Duration bound);

    // Takes objects of the kind that names the zones; answers whether the zones have changed or are known for
    // the first time.
    bool take(const StorePage& page, bool isWhole, TimePoint now);

    // Until then any zone may be out.
    bool areKnown() const { return areKnown_; }
    bool isOut(const std::string& zone) const { return since_.count(zone) > 0; }
    ZoneUse use(const std::string& zone, TimePoint now) const;

    // How long the zone has been out, as far as that is known; nothing while it is in use.
    std::optional<Duration> outFor(const std::string& zone, TimePoint now) const;

private:
    Duration keysMayStayFor_;
    bool areKnown_ = false;
    std::map<std::string, TimePoint> since_; // By zone that is out.
};

}
