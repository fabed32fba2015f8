#pragma once

#include "membership/leaseholder.h"
#include "membership/leasetiming.h"

#include <map>
#include <optional>

namespace persimmonfield {

// Gathers the proof that the lease of a claimed holder has ended, wherever the holder is and whatever it
// believes. Pure; not thread-safe.
class LapseProof {
public:
    // `witnesses` is the set frozen by the claim; `claimKnown` is when the claim was known to have taken
    // effect.
    LapseProof(const LeaseTiming& timing, WitnessSet witnesses, TimePoint claimKnown);

    // Witnesses whose promise is still wanted; none once there are enough.
    WitnessSet wanted() const;

    // A promise arrived; `sinceConfirmed` is nothing when the witness never confirmed the holder.
    void promised(const InstanceId& witness, std::optional<Duration> sinceConfirmed, TimePoint receivedAt);

    // The witness's own lapse is proven: it counts as a promise made at that time.
    void witnessLapsed(const InstanceId& witness, TimePoint provenAt);

    // From when on the lapse is certain; nothing while promises are missing.
    std::optional<TimePoint> certainFrom() const;
    bool isProven(TimePoint now) const;

private:
    bool hasMajority() const;

    LeaseTiming timing_;
    WitnessSet witnesses_;
    TimePoint claimKnown_;
    std::map<InstanceId, std::optional<TimePoint>> latestConfirmation_; // By those that promised.
};

}
