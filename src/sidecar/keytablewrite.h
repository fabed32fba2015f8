#pragma once

#include "sidecar/fleetdirectory.h"

#include <cstdint>
#include <string>

namespace persimmonfield {

// A conditional write of one object of a service's key table.
struct KeyTableWrite {
    stored::KeyTable table; // The whole table after the write.
    std::string objectName;
    stored::KeyTable value; // Of the object.
    int64_t expectedRevision = 0;
};

// The first write on the way from the known table to `table`. It changes one part; writes of the other parts
// follow, since what they change is still due then.
KeyTableWrite firstWriteTo(
    const stored::KeyTable& table, const std::string& service, const FleetDirectory& directory);

// Writes a part of the known table without a change of its ranges, so that writes that are built on its
// present revision fail. `confirmation` must differ from that of all other such writes.
KeyTableWrite confirmingWrite(
    int part, const std::string& confirmation, const std::string& service, const FleetDirectory& directory);

}
