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

// The kind of the lease objects in the store. An instance may grant keys to its server only while it holds
// its lease.
inline constexpr const char* leaseKind = "persimmonfield-leases";

struct KeyLeaseManagerOptions {
    std::string instance;
    std::string incarnation;
    StoreSession* store = nullptr;
    // Called when this instance's lease was acquired for the first time or again: the ranges that it covers
    // have to be confirmed.
    std::function<void()> onAcquired;
    // Called when the leases of other instances were listed or when one was marked as lapsed.
    std::function<void()> onChange;
};

// Renews this instance's lease in the store, follows the leases of other instances, and marks expired ones as
// lapsed. Runs on the event loop's thread.
class KeyLeaseManager {
public:
    explicit KeyLeaseManager(KeyLeaseManagerOptions options);

    // The store is in this era from now on.
    void setEra(int64_t era);

    // Renews, lists and marks leases as far as each is due.
    void step(TimePoint now);
    void renew(TimePoint now);

    // The time until which keys may be granted. Always in the past while the ranges have to be confirmed.
    TimePoint grantableUntil() const;
    bool needsConfirmation() const { return own_.needsConfirmation(); }
    // Whether another instance had marked the lease as lapsed, so that ranges may have been reassigned.
    bool wasLapsed() const { return own_.wasLapsed(); }
    int64_t losses() const { return own_.losses(); }
    void confirmed() { own_.confirmed(); }
    // The ranges could not be read; the next renewal requests the confirmation again.
    void confirmationFailed() { own_.failed(); }

    bool isFresh(const std::string& instance, TimePoint now) const { return others_.isFresh(instance, now); }
    bool isLapsed(const std::string& instance, TimePoint now) const
    {
        return others_.isLapsed(instance, now);
    }
    // The instance owns keys, so that its lease has to be renewed or to lapse.
    void expect(const std::string& instance, TimePoint now) { others_.expect(instance, now); }

    // Reads all leases. A listing that may be stale costs the store less.
    void list(bool mayBeStale);
    // The store's revision at the last listing that was not allowed to be stale.
    int64_t listedRevision() const { return listedRevision_; }

private:
    void onWritten(const StoreWriteResult& result);
    void poll(TimePoint now);
    void observe(const StoreObject& object);
    void markExpired(TimePoint now);

    KeyLeaseManagerOptions options_;
    KeyLeaseHolder own_;
    KeyLeaseMonitor others_;
    std::set<std::string> beingMarked_; // Instances whose lease is being marked as lapsed.
    int64_t listedRevision_ = 0;
    bool isListing_ = false;
    std::optional<TimePoint> renewingSince_; // Start of the uninterrupted series of successful renewals.
    TimePoint nextPoll_;
};

}
