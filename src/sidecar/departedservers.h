#pragma once

#include "messages/generated/stored.h"
#include "ownership/keytable.h"

#include <vector>

namespace persimmonfield {

// The servers next to an instance that have announced their departure, those that did so last at the end.
// They are kept beyond their exit and in the instance's entry in the store, since a report that a server sent
// before it announced its departure may arrive long after.
using DepartedServers = std::vector<stored::DepartedServer>;

// Whether the incarnation has announced its departure.
bool hasDeparted(const DepartedServers& departed, const ServerIncarnation& incarnation);

// Adds the incarnation and all earlier ones with its id. Returns whether this was not known.
bool addDeparted(DepartedServers& departed, const ServerIncarnation& incarnation);

}
