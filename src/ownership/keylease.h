#pragma once

#include "base/time.h"
#include "messages/generated/stored.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// How long an instance may grant keys to its backend server after a lease renewal, and how often it renews.
struct KeyLeaseTiming {
    // Longer than a typical outage of the store. The keys of a lost instance can only be taken over after it.
    Milliseconds term { 7'000 };
    Milliseconds renewalInterval { 1'500 };
    // Maximum clock rate difference between two instances, or between an instance and its backend server.
    int driftPercent = 2;
    // Added when waiting for another instance's lease to expire: covers scheduling delays and a last message
    // in flight.
    Milliseconds margin { 200 };
};

// How long an unchanged lease must be watched before it has certainly ended.
Duration leaseExpiryWait(const KeyLeaseTiming& timing);

// The lease that allows this instance to grant keys, renewed by conditional writes to the store. Does no I/O
// and reads no clock.
class KeyLeaseHolder {
public:
    KeyLeaseHolder(std::string instance, std::string incarnation, KeyLeaseTiming timing);

    // The lease to write and the revision that the write expects; revision 0 creates the object.
    struct Renewal {
        stored::KeyLease lease;
        int64_t expectedRevision = 0;
    };
    // Returns the renewal to send, or nothing while none is due.
    std::optional<Renewal> dueRenewal(TimePoint now);

    // The store is in this era from now on. After a restore, the lease counts until its end, and the next
    // renewal takes it anew without a loss only if it is sent before that.
    void setEra(int64_t era);

    // The store holds this value of the lease. It spares a renewal that would fail in a new era.
    void observe(const stored::KeyLease& found, int64_t revision);

    // The renewal took effect. The lease term counts from the time at which the renewal was sent.
    void renewed(int64_t revision);

    // The store holds a value other than the expected one: `found`, or nothing if the object is missing.
    // Returns whether the lease was lost, in which case the key table has to be read and confirmed again.
    bool conflicted(const std::optional<stored::KeyLease>& found, int64_t revision);

    // The renewal failed, or its outcome is unknown.
    void failed();

    // When this lease expires; no keys may be granted after it.
    TimePoint end() const { return end_; }
    // Whether the lease was reacquired since the key table was last confirmed.
    bool needsConfirmation() const { return needsConfirmation_; }
    void confirmed() { needsConfirmation_ = false; }
    // Whether the lease had been marked as lapsed or removed, so that other instances may have taken ranges.
    bool wasLapsed() const { return wasLapsed_; }
    // How often the lease was lost. What was confirmed before a loss has to be confirmed again.
    int64_t losses() const { return losses_; }

private:
    std::string instance_;
    std::string incarnation_;
    KeyLeaseTiming timing_;
    void lose(bool wasLapsed);

    int64_t era_ = 0;
    bool isNewEra_ = false; // The lease was not renewed in this era yet.
    int64_t revision_ = 0;
    int64_t sequence_ = 0;
    TimePoint sentAt_;
    TimePoint nextRenewal_;
    TimePoint end_;
    bool isRenewalInFlight_ = false;
    bool needsConfirmation_ = true;
    bool wasLapsed_ = false;
    int64_t losses_ = 0;
};

// Monitors the key leases of other instances. An instance whose lease did not change for a whole term,
// measured by this instance's own clock with an allowance for drift, may grant nothing any more. Does no I/O
// and reads no clock.
class KeyLeaseMonitor {
public:
    explicit KeyLeaseMonitor(KeyLeaseTiming timing);

    // The store is in this era from now on. The leases' terms count from when they are observed in it.
    void setEra(int64_t era) { era_ = era; }

    // The instance owns keys. If its lease is not stored, it counts as one that was not renewed since now.
    void expect(const std::string& instance, TimePoint now);

    void observe(const stored::KeyLease& lease, int64_t revision, TimePoint now);

    // The instance's lease object cannot be parsed: the last readable lease counts as renewed at this
    // revision.
    void observeUnreadable(const std::string& instance, int64_t revision, TimePoint now);

    struct Expired {
        stored::KeyLease lease; // The value to write, already marked as lapsed.
        int64_t expectedRevision = 0;
    };
    // Returns the leases that have expired and are not marked as lapsed yet.
    std::vector<Expired> expired(TimePoint now) const;

    // A mark of an earlier era may come from a copy of the store, or late, and only counts after a term.
    bool isLapsed(const std::string& instance, TimePoint now) const;

    // Whether the instance renewed its lease within the term and it is not marked as lapsed.
    bool isFresh(const std::string& instance, TimePoint now) const;

private:
    struct Observation {
        stored::KeyLease lease;
        int64_t revision = 0;
        TimePoint since;
    };

    KeyLeaseTiming timing_;
    int64_t era_ = 0;
    std::map<std::string, Observation> observations_;
};

}
