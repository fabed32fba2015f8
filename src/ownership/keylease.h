#pragma once

#include "base/time.h"
#include "messages/generated/stored.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// How long an instance may grant keys to its server after a renewal, and how often it renews.
struct KeyLeaseTiming {
    // Outlasts the usual outage of the store; a lost instance's keys are taken over after it.
    Milliseconds term { 7'000 };
    Milliseconds renewal { 1'500 };
    // Clocks of two instances may run apart by so many percent, as those of servers may.
    int driftPercent = 2;
    // Added by whoever waits for a lease to end: scheduling and a last message under way.
    Milliseconds margin { 200 };
};

// The lease by which this instance may grant keys, renewed by conditional writes to the store. Pure.
class KeyLeaseHolder {
public:
    KeyLeaseHolder(std::string instance, std::string incarnation, KeyLeaseTiming timing);

    // The lease to write and the revision that the write expects; nothing while none is due. 0 creates it.
    struct Renewal {
        stored::KeyLease lease;
        int64_t expectedRevision = 0;
    };
    std::optional<Renewal> dueRenewal(TimePoint now);

    // The renewal took effect; it counts from when it was sent.
    void renewed(int64_t revision);

    // The store holds another value: what it holds, or nothing when the object is missing. Answers whether
    // the lease was lost, so that the key table has to be read and confirmed again.
    bool conflicted(const std::optional<stored::KeyLease>& found, int64_t revision);

    // It is not known whether the renewal took effect, or it did not.
    void failed();

    // Until when keys may be granted by this lease.
    TimePoint end() const { return end_; }
    // Whether the lease was taken anew since the key table was last confirmed.
    bool needsConfirmation() const { return needsConfirmation_; }
    void confirmed() { needsConfirmation_ = false; }
    // Whether another instance had ended the lease, so that ranges may have been given away.
    bool wasLapsed() const { return wasLapsed_; }

private:
    std::string instance_;
    std::string incarnation_;
    KeyLeaseTiming timing_;
    int64_t revision_ = 0;
    int64_t sequence_ = 0;
    TimePoint sentAt_;
    TimePoint nextRenewal_;
    TimePoint end_;
    bool isUnderWay_ = false;
    bool needsConfirmation_ = true;
    bool wasLapsed_ = false;
};

// What this instance has seen of the leases of others. One whose lease did not change for its whole term, by
// this instance's own clock, may grant nothing any more. Pure.
class KeyLeaseWatch {
public:
    explicit KeyLeaseWatch(KeyLeaseTiming timing);

    void observe(const stored::KeyLease& lease, int64_t revision, TimePoint now);

    // The instance's lease cannot be read: the last one that could counts as renewed.
    void observeUnreadable(const std::string& instance, int64_t revision, TimePoint now);

    struct Expired {
        stored::KeyLease lease; // Marked as lapsed, to be written.
        int64_t expectedRevision = 0;
    };
    // Leases that are over and not marked yet.
    std::vector<Expired> expired(TimePoint now) const;

    bool isLapsed(const std::string& instance) const;

    // Whether the instance renewed within the term.
    bool isFresh(const std::string& instance, TimePoint now) const;

private:
    struct Seen {
        stored::KeyLease lease;
        int64_t revision = 0;
        TimePoint since;
    };

    Duration wait() const;

    KeyLeaseTiming timing_;
    std::map<std::string, Seen> seen_;
};

}
