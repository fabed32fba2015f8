#pragma once

#include "base/time.h"

namespace persimmonfield {

// The times on which leases rest. Pure arithmetic; the same in all daemons of a fleet.
struct LeaseTiming {
    Duration renewInterval = Milliseconds(400);
    Duration leaseDuration = Milliseconds(1'500);
    // A witness that was not asked for so long suspects the holder.
    Duration suspectAfter = Milliseconds(900);
    // Any two clocks of the fleet run apart by at most this share.
    double driftBound = 0.01;

    // How long a prover must wait, by its own clock, so that a lease taken before has ended by the holder's.
    Duration lapseWait() const { return scaleUp(scaleUp(leaseDuration)); }

    // The least true time within an interval that another daemon measured.
    Duration leastTrue(Duration measured) const { return scale(measured, 1 / (1 + driftBound)); }

private:
    static Duration scale(Duration value, double factor)
    {
        return std::chrono::duration_cast<Duration>(value * factor);
    }
    Duration scaleUp(Duration value) const { return scale(value, 1 + driftBound); }
};

}
