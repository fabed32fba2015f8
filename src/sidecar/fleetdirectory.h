#pragma once

#include "messages/generated/stored.h"
#include "ownership/keytable.h"
#include "sidecar/zonesout.h"
#include "store/storedialect.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// The kind of the objects in the store by which instances find one another.
inline constexpr const char* fleetKind = "persimmonfield-fleet";

std::string instanceObjectName(const std::string& instance);
std::string keyTableObjectName(const std::string& service);

// This instance's copy of what the fleet keeps in the store: the instances with their servers, and the key
// tables. Pure.
class FleetDirectory {
public:
    template <typename Value> struct Versioned {
        Value value;
        int64_t revision = 0;
    };
    using Instances = std::map<std::string, Versioned<stored::InstanceEntry>>;

    // Takes objects of the fleet's kind; a whole listing replaces everything. Objects that cannot be read
    // name nobody and are logged. Older copies than the known ones are passed over.
    void apply(const StorePage& page, bool isWhole);

    // The instance has said itself that it stops, which its entry in the store may not show yet. False when
    // that was known, or when its entry is of another incarnation.
    bool noteDeparture(const std::string& name, const std::string& incarnation);

    const Instances& instances() const { return instances_; }
    const stored::InstanceEntry* instance(const std::string& name) const;
    const Versioned<stored::KeyTable>* keyTable(const std::string& service) const;
    // 0, and no ranges, where the service has no table.
    int64_t keyTableRevision(const std::string& service) const;
    const std::vector<stored::KeyRange>& keyRanges(const std::string& service) const;

    // The owner of a key by the key table, unless it is the instance itself.
    std::optional<peer::KeyOwner> otherOwner(
        const std::string& service, int key, const std::string& self) const;

    // The members of a service that is divided by key.
    std::vector<KeyMember> keyMembers(const std::string& service, const ZonesOut& zones) const;

    bool isLoaded() const { return isLoaded_; }

    // Rises with each change, so that what was derived from the directory can be kept until then.
    int64_t version() const { return version_; }

private:
    void applyObject(const StoreObject& object);
    bool markDeparture(const std::string& name);

    Instances instances_;
    std::map<std::string, std::string> departures_; // The incarnations that said so, by instance.
    std::map<std::string, Versioned<stored::KeyTable>> tables_; // By service.
    bool isLoaded_ = false;
    int64_t version_ = 1;
};

}
