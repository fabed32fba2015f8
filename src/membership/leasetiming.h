#pragma once

#include "base/time.h"

namespace persimmonfield {

// Timing parameters of leases. They must be the same in all daemons of a fleet.
struct LeaseTiming {
    Duration renewInterval = Milliseconds(400);
    Duration leaseDuration = Milliseconds(1'500);
    // A witness that receives no renewal for this long suspects the holder.
    Duration suspectAfter = Milliseconds(900);
    // The largest relative difference between the rates of any two clocks in the fleet.
    double maxClockDrift = 0.01;

    // How long a prover must wait by its own clock until a lease confirmed before the wait has ended by the
    // holder's clock.
    Duration lapseWait() const { return scaleUp(scaleUp(leaseDuration)); }

    // The shortest true duration of an interval that another daemon measured.
    Duration minTrueDuration(Duration measured) const { return scale(measured, 1 / (1 + maxClockDrift)); }

private:
    static Duration scale(Duration value, double factor)
    {
        return std::chrono::duration_cast<Duration>(value * factor);
    }
    Duration scaleUp(Duration value) const { return scale(value, 1 + maxClockDrift); }
};

}
