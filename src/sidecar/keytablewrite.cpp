#include "sidecar/keytablewrite.h"

#include "ownership/keytable.h"

namespace persimmonfield {
namespace {

    // Writes one part of a table that is kept in several objects.
    KeyTableWrite partWrite(
        const stored::KeyTable& table, int part, const std::string& service, const FleetDirectory& directory)
    {
        KeyTableWrite write;
        write.objectName = keyTablePartObjectName(service, part, directory.era());
        write.value.service = service;
        write.value.era = table.era;
        write.value.ranges = rangesOfPart(table, part);
        write.expectedRevision = directory.keyPartRevision(service, part);
        return write;
    }

}

KeyTableWrite firstWriteTo(
    const stored::KeyTable& table, const std::string& service, const FleetDirectory& directory)
{
    const auto* known = directory.keyTable(service);
    const int64_t era = directory.era();
    KeyTableWrite write;
    write.objectName = keyTableObjectName(service, era);
    write.value.service = service;
    write.value.era = table.era;
    if (partCount(table) == 1) {
        write.table = write.value = table;
        write.expectedRevision = known ? directory.keyPartRevision(service, 0) : 0;
        return write;
    }
    if (!directory.isKeyTableStored(service)) {
        // The parts are written once their number is agreed on.
        write.value.parts = table.parts;
        write.table = known ? known->value : write.value;
        return write;
    }
    int part = firstChangedPart(known->value, table).value_or(-1);
    if (part < 0) {
        // An unchanged table is written to store its parts in a new era.
        part = 0;
        while (part + 1 < partCount(table) && directory.keyPartRevision(service, part) > 0)
            ++part;
    }
    write = partWrite(table, part, service, directory);
    write.table = withPartOf(known->value, table, part);
    return write;
}

KeyTableWrite confirmingWrite(
    int part, const std::string& confirmation, const std::string& service, const FleetDirectory& directory)
{
    const stored::KeyTable& table = directory.keyTable(service)->value;
    KeyTableWrite write = partCount(table) == 1 ? firstWriteTo(table, service, directory)
                                                : partWrite(table, part, service, directory);
    write.table = table;
    write.value.confirmation = confirmation;
    return write;
}

}
