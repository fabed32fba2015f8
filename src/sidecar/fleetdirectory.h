#pragma once

#include "messages/generated/stored.h"
#include "ownership/keytable.h"
#include "sidecar/evacuatedzones.h"
#include "store/storedialect.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// The kind of the store's objects that hold the fleet's shared state, such as the instances and key tables.
inline constexpr const char* fleetKind = "persimmonfield-fleet";

std::string instanceObjectName(const std::string& instance);
// The object that holds a service's key table in an era of the store, or only states the number of parts if
// there are several. Each era has objects of its own, so that a late write of an earlier era cannot touch
// them.
std::string keyTableObjectName(const std::string& service, int64_t era = 0);
// The object that holds one of several parts.
std::string keyTablePartObjectName(const std::string& service, int part, int64_t era = 0);
// Name of the object that holds the record of a service's roll-out.
std::string rolloutObjectName(const std::string& service);

// This instance's copy of the fleet's objects in the store: the instances with their servers, and the key
// tables. Performs no I/O other than logging.
class FleetDirectory {
public:
    template <typename Value> struct Versioned {
        Value value;
        int64_t revision = 0;
        int64_t storeRevision = 0; // Expected by a conditional write; 0 if the store holds no object.
        bool isStored = true; // False if the store holds an older value, or none, after a restore.
    };
    using Instances = std::map<std::string, Versioned<stored::InstanceEntry>>;

    // Applies objects of the fleet's kind. A whole listing replaces all known objects. An object that cannot
    // be parsed is logged and counts as missing. Older revisions than the known ones are ignored. After a
    // restore of the store, entries that are known stay so until they are written again: those that are
    // missing in a listing, and those of which the store has an older copy.
    void apply(const StorePage& page, bool isFullListing);

    // Records that the instance has announced its departure itself, which its entry in the store may not show
    // yet. Returns false when the departure was already known or the known entry is of another incarnation.
    bool recordDeparture(const std::string& name, const std::string& incarnation);

    const Instances& instances() const { return instances_; }
    const stored::InstanceEntry* instance(const std::string& name) const;
    // The entry that is stored as the object of this name; null if there is none.
    const stored::InstanceEntry* instanceOfObject(const std::string& objectName) const;
    // The whole table with the newest revision of its parts. Parts that are not stored have no owner.
    const Versioned<stored::KeyTable>* keyTable(const std::string& service) const;
    // The revision of the part in the present era; 0 if it is not stored.
    int64_t keyPartRevision(const std::string& service, int part) const;
    // The revision of the part that contains the key, which may be of an earlier era; 0 if there is none.
    int64_t keyTableRevision(const std::string& service, int64_t key) const;
    // Empty when the service has no table.
    const std::vector<stored::KeyRange>& keyRanges(const std::string& service) const;

    // The owner of a key by the key table; nullopt when the key has no owner or is owned by `self`.
    std::optional<peer::KeyOwner> otherOwner(
        const std::string& service, int key, const std::string& self) const;

    // The instances that have a server of the service, as members for the planning of its key table.
    std::vector<KeyMember> keyMembers(const std::string& service, const EvacuatedZones& zones) const;

    // The records of roll-outs, by service.
    const std::map<std::string, Versioned<stored::RolloutRecord>>& rollouts() const { return rollouts_; }

    bool isLoaded() const { return isLoaded_; }

    // The store is in this era from now on. Until the key tables of the era are stored, those that were known
    // last stand in for them.
    void setEra(int64_t era);
    int64_t era() const { return era_; }
    // Whether the service's key table, or its number of parts, is stored in the present era.
    bool isKeyTableStored(const std::string& service) const;
    // Whether an instance has not written its entry in the present era.
    bool hasEarlierEntries() const;
    // Whether a key table of an earlier era is known.
    bool hasEarlierKeyTable(const std::string& service) const;

    // Increases when an instance joins, leaves or changes, so that data derived from the instances can be
    // cached. Key tables change far more often and are not counted.
    int64_t instancesVersion() const { return instancesVersion_; }

private:
    void applyObject(const StoreObject& object);
    bool markDeparture(const std::string& name);

    Instances instances_;
    std::map<std::string, std::string> departures_; // Incarnation that announced its departure, by instance.
    // A table assembled from its parts.
    struct AssembledTable {
        Versioned<stored::KeyTable> whole;
        std::vector<int64_t> partRevisions;
        std::vector<bool> storedParts; // Whether the part is stored in the present era.
    };
    const AssembledTable* assembledTable(const std::string& service) const;
    AssembledTable assembleTable(
        const std::string& service, const std::string& base, const Versioned<stored::KeyTable>& first) const;
    std::optional<AssembledTable> tableOfEarlierEra(const std::string& service) const;

    std::map<std::string, Versioned<stored::KeyTable>> tables_; // Objects, by the end of their names.
    mutable std::map<std::string, AssembledTable> assembledTables_; // By service; emptied by changes.
    std::map<std::string, Versioned<stored::RolloutRecord>> rollouts_; // By service.
    std::map<std::string, int64_t> unreadable_; // Revisions of the objects that cannot be used, by name.
    std::map<std::string, AssembledTable> formerTables_; // Known last in earlier eras, by service.
    int64_t era_ = 0;
    bool isLoaded_ = false;
    int64_t instancesVersion_ = 1;
};

}
