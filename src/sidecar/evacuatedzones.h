#pragma once

#include "base/time.h"
#include "store/storedialect.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonfield {

// The requests that may be sent to the servers of an availability zone.
enum class ZoneTraffic {
    All,
    OwnedKeys, // Shortly after an evacuation: only requests for owned keys, which have yet to move.
    None,
};

// The evacuated availability zones, by the objects read from the store. Performs no I/O other than logging.
class EvacuatedZones {
public:
    // `bound` is the time after the evacuation of a zone from which its servers must receive no requests.
    explicit EvacuatedZones(Duration bound);

    // Applies objects of the kind that names the evacuated zones. Returns whether the zones have changed or
    // are known for the first time.
    bool apply(const StorePage& page, bool isFullListing, TimePoint now);

    // A zone that a listing lacks after a restore of the store stays evacuated for some time, because the
    // operator's acknowledged write may be lost, unless the operator writes or removes the zone by then.
    // Returns when the first such time ends; nullopt if there is none.
    std::optional<TimePoint> heldUntil() const;
    // Ends the times that are over. Returns whether a zone is in use again.
    bool releaseHeld(TimePoint now);

    // Whether the evacuated zones have been listed. Until then every zone counts as evacuated.
    bool areKnown() const { return areKnown_; }
    bool isEvacuated(const std::string& zone) const { return !areKnown_ || evacuatedSince_.count(zone) > 0; }
    ZoneTraffic allowedTraffic(const std::string& zone, TimePoint now) const;

    // The time since this instance learned of the zone's evacuation; nullopt while the zone is in use. For a
    // zone that was found by a listing, half of the bound is added.
    std::optional<Duration> evacuatedFor(const std::string& zone, TimePoint now) const;

private:
    void holdLost(std::map<std::string, TimePoint>& zones, bool isNewEra, TimePoint now);

    Duration keyMoveTime_; // For moving keys away, from when this instance learns of the evacuation.
    bool areKnown_ = false;
    std::map<std::string, TimePoint> evacuatedSince_; // By evacuated zone.
    std::map<std::string, TimePoint> heldUntil_; // By evacuated zone that the store lacks after a restore.
    int64_t era_ = 0; // Of the last listing.
};

}
