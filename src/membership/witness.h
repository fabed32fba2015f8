#pragma once

#include "membership/instance.h"
#include "membership/leasetiming.h"

#include <map>
#include <optional>
#include <vector>

namespace persimmonfield {

// The witness's side of leases: confirms renewals, until it promises never to confirm a holder again. Pure;
// not thread-safe.
class Witness {
public:
    explicit Witness(const LeaseTiming& timing);

    // Whether the renewal is confirmed. A witness without a lease of its own confirms nothing.
    bool confirm(const InstanceId& holder, bool ownLeaseIsHeld, TimePoint now);

    // Promises never to confirm the holder again, and answers how long ago it last did; nothing for never.
    std::optional<Duration> promise(const InstanceId& holder, TimePoint now);

    // Holders that asked once and have been silent for too long.
    std::vector<InstanceId> suspects(TimePoint now) const;

    // The holder's lapse is proven, or it no longer asks this witness.
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
