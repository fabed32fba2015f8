#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// One partition of one service.
struct PartitionId {
    std::string service;
    int number = 0;

    bool operator<(const PartitionId& other) const
    {
        return service != other.service ? service < other.service : number < other.number;
    }
    bool operator==(const PartitionId& other) const
    {
        return number == other.number && service == other.service;
    }
};

// The right to serve one partition.
struct Grant {
    int64_t fence = 0;
    Milliseconds began { 0 }; // By the wall clock; 0 when the partition never had an earlier owner.
    TimePoint takenUp;
    bool isReleasing = false; // A planned hand-over is under way: nothing new starts.
};

enum class AuthorityRefusal {
    None,
    NoLease,
    NotOwner,
    Moving,
};

// What `begin` came to.
struct Permit {
    AuthorityRefusal refusal = AuthorityRefusal::None;
    int64_t fence = 0;
    Milliseconds grantBegan { 0 };
    TimePoint leaseEnd;

    bool isGranted() const { return refusal == AuthorityRefusal::None; }
};

// What this daemon may do right now: its lease and its grants. The control thread changes it, the threads
// that serve requests ask it at the last moment before a request is written to the server. Thread-safe.
class Authority {
public:
    // The lease runs until `end`; it is over for any time from then on.
    void setLeaseEnd(TimePoint end);
    TimePoint leaseEnd() const;
    bool holdsLease(TimePoint now) const { return now < leaseEnd(); }

    void grant(const PartitionId& partition, const Grant& grant);

    // Nothing new starts on the partition from now on.
    void beginRelease(const PartitionId& partition);

    // Serves the partition on after a release that certainly did not take effect.
    void cancelRelease(const PartitionId& partition);

    void drop(const PartitionId& partition);
    void dropAll();

    // Whether a request could start now, without starting it.
    Permit check(const PartitionId& partition, TimePoint now) const;

    // Starts one request; a granted one must be ended.
    Permit begin(const PartitionId& partition, TimePoint now);
    void end(const PartitionId& partition);

    // Requests started and not ended.
    int inFlight(const PartitionId& partition) const;

    std::map<PartitionId, Grant> grants() const;

private:
    // Call with the mutex held.
    Permit permitLocked(const PartitionId& partition, TimePoint now) const;

    mutable std::mutex mutex_;
    TimePoint leaseEnd_;
    std::map<PartitionId, Grant> grants_;
    std::map<PartitionId, int> inFlight_;
};

}
