#pragma once

#include "membership/leaseholder.h"

#include <string>
#include <vector>

namespace persimmonfield {

// A member of the fleet that may witness the leases of others.
struct WitnessCandidate {
    InstanceId id;
    std::string zone;
};

// The most witnesses that one holder asks.
inline constexpr size_t mostWitnesses = 7;

// With fewer peers than this the store itself confirms the lease.
inline constexpr size_t fewestWitnesses = 3;

// An odd number of witnesses for `self`, fewer than half of them from one availability zone where the
// candidates allow it. Keeps those of `present` that are still candidates; empty when there are too few.
WitnessSet chooseWitnesses(
    const InstanceId& self, const std::vector<WitnessCandidate>& candidates, const WitnessSet& present);

}
