#pragma once

#include "membership/leaseholder.h"
#include "membership/leasetiming.h"

#include <map>
#include <optional>

namespace persimmonfield {

// Collects the proof that the lease of a claimed holder has lapsed. The proof needs no answer from the holder
// and does not depend on what the holder knows. Does no I/O and reads no clock; not thread-safe.
class LapseProof {
public:
    // `witnesses` is the witness set in the claimed entry, which can no longer change. `claimedAt` is when
    // this daemon learned that the claim took effect.
    LapseProof(const LeaseTiming& timing, WitnessSet witnesses, TimePoint claimedAt);

    // Witnesses that have not promised yet; empty once a majority has promised.
    WitnessSet missingWitnesses() const;

    // Adds a witness's promise. `sinceConfirmed` is the time since the witness last confirmed the holder, or
    // nullopt if it never did.
    void onPromise(const InstanceId& witness, std::optional<Duration> sinceConfirmed, TimePoint receivedAt);

    // The witness's own lease is proven to have lapsed. Counts as a promise made at `provenAt`, because a
    // witness without a lease confirms nothing.
    void onWitnessLapsed(const InstanceId& witness, TimePoint provenAt);

    // The time from which on the lapse is proven; nullopt while promises are missing.
    std::optional<TimePoint> provenFrom() const;
    bool isProven(TimePoint now) const;

private:
    bool hasMajority() const;

    LeaseTiming timing_;
    WitnessSet witnesses_;
    TimePoint claimedAt_;
    std::map<InstanceId, std::optional<TimePoint>> latestConfirmation_; // Of each witness that promised.
};

}
