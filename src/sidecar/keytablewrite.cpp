#include "sidecar/keytablewrite.h"

#include "ownership/keytable.h"

namespace persimmonfield {

KeyTableWrite firstWriteTo(
    const stored::KeyTable& table, const std::string& service, const FleetDirectory& directory)
{
    const auto* known = directory.keyTable(service);
    KeyTableWrite write;
    write.objectName = keyTableObjectName(service);
    write.value.service = service;
    if (partCount(table) == 1) {
        write.table = write.value = table;
        write.expectedRevision = known ? known->revision : 0;
        return write;
    }
    if (!known) {
        // The parts are written once their number is agreed on.
        write.value.parts = table.parts;
        write.table = write.value;
        return write;
    }
    const int part = firstChangedPart(known->value, table).value_or(0);
    write.table = withPartOf(known->value, table, part);
    write.objectName = keyTablePartObjectName(service, part);
    write.value.ranges = rangesOfPart(table, part);
    write.expectedRevision = directory.keyPartRevision(service, part);
    return write;
}

}
