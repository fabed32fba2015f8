#pragma once

#include "base/time.h"
#include "ownership/keylease.h"
#include "store/storesession.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace persimmonfield {

// The kind of the objects in the store by which instances hold the right to grant keys.
inline constexpr const char* leaseKind = "persimmonfield-leases";

struct KeyLeaseDutyOptions {
    std::string instance;
    std::string incarnation;
    StoreSession* store = nullptr;
    // The own lease was written for the first time or anew: what it covers has to be confirmed.
    std::function<void()> onTakenAnew;
    // Leases of others have become known, or were ended.
    std::function<void()> onChange;
};

// Keeps this instance's lease in the store, follows those of others, and ends those that have run out. Runs
// on the loop's thread.
class KeyLeaseDuty {
public:
    explicit KeyLeaseDuty(KeyLeaseDutyOptions options);

    // Does what is due.
    void step(TimePoint now);
    void renew(TimePoint now);

    // Until when keys may be granted; nothing may be while the lease has to be confirmed.
    TimePoint grantableUntil() const;
    bool needsConfirmation() const { return own_.needsConfirmation(); }
    // Whether another instance had ended the lease, so that ranges may have been given away.
    bool wasLapsed() const { return own_.wasLapsed(); }
    void confirmed() { own_.confirmed(); }
    // What the lease covers could not be read: the next renewal asks for it again.
    void confirmationFailed() { own_.failed(); }

    bool isFresh(const std::string& instance, TimePoint now) const { return others_.isFresh(instance, now); }
    bool isLapsed(const std::string& instance) const { return others_.isLapsed(instance); }

    // Reads all leases; stale copies cost the store less.
    void list(bool mayBeStale);
    // Of the store at the last listing that was not stale.
    int64_t listedRevision() const { return listedRevision_; }

private:
    void written(const StoreWriteResult& result);
    void poll(TimePoint now);
    void observe(const StoreObject& object);
    void lapse(TimePoint now);

    KeyLeaseDutyOptions options_;
    KeyLeaseHolder own_;
    KeyLeaseMonitor others_;
    std::set<std::string> lapsing_; // Instances whose lease is being marked.
    int64_t listedRevision_ = 0;
    bool isListing_ = false;
    std::optional<TimePoint> renewingSince_; // Since when every renewal of the lease succeeded.
    TimePoint nextPoll_;
};

}
