#pragma once

#include "membership/leaseholder.h"

#include <string>
#include <vector>

namespace persimmonfield {

// An instance that can be a witness for the leases of others.
struct WitnessCandidate {
    InstanceId id;
    std::string zone;
};

// Upper limit of a holder's witness set.
inline constexpr size_t maxWitnesses = 7;

// With fewer other instances than this, the store confirms the lease.
inline constexpr size_t minWitnesses = 3;

// Chooses an odd number of witnesses for `self`, fewer than half of them from any one availability zone if
// the candidates allow it. Prefers the candidates that are in `current`. Returns an empty set if there are
// too few candidates.
WitnessSet chooseWitnesses(
    const InstanceId& self, const std::vector<WitnessCandidate>& candidates, const WitnessSet& current);

}
