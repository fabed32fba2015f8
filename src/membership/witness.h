#pragma once

#include "membership/instance.h"
#include "membership/leasetiming.h"

#include <map>
#include <optional>
#include <vector>

namespace persimmonfield {

// The witness's side of leases: confirms a holder's renewals until it promises a prover never to confirm that
// holder again. Does no I/O and reads no clock; not thread-safe.
class Witness {
public:
    explicit Witness(const LeaseTiming& timing);

    // Returns whether the renewal is confirmed. `holdsLease` says whether this witness holds a lease of its
    // own; without one it confirms nothing.
    bool confirm(const InstanceId& holder, bool holdsLease, TimePoint now);

    // Promises never to confirm the holder again. Returns the time since the last confirmation, or nullopt if
    // there was none.
    std::optional<Duration> promise(const InstanceId& holder, TimePoint now);

    // Holders whose last confirmed renewal is older than `LeaseTiming::suspectAfter`.
    std::vector<InstanceId> suspects(TimePoint now) const;

    // Removes a holder whose lapse is proven or that no longer uses this witness.
    void forget(const InstanceId& holder);

    std::vector<InstanceId> holders() const;

private:
    struct Record {
        std::optional<TimePoint> lastConfirmed;
        TimePoint lastAsked;
        bool isPromised = false;
    };

    LeaseTiming timing_;
    std::map<InstanceId, Record> records_;
};

}
