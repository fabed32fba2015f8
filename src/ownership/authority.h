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

// The right of this daemon to serve one partition, under the fencing token in `fence`.
struct Grant {
    int64_t fence = 0;
    Milliseconds began { 0 }; // Wall-clock time; 0 if the partition had no earlier owner.
    TimePoint acquiredAt;
    bool isReleasing = false; // A planned handover is in progress; no new request may start.
};

enum class AuthorityRefusal {
    None,
    NoLease,
    NotOwner,
    Moving,
};

// The result of `check` and `begin`.
struct Permit {
    AuthorityRefusal refusal = AuthorityRefusal::None;
    int64_t fence = 0;
    Milliseconds grantBegan { 0 };
    TimePoint leaseEnd;

    bool isGranted() const { return refusal == AuthorityRefusal::None; }
};

// The lease and the partition grants that this daemon holds now. The control thread updates them; request
// threads check them immediately before a request is written to the backend server. Thread-safe.
class Authority {
public:
    // The lease is valid before `end` and expired from `end` on.
    void setLeaseEnd(TimePoint end);
    TimePoint leaseEnd() const;
    bool holdsLease(TimePoint now) const { return now < leaseEnd(); }

    void grant(const PartitionId& partition, const Grant& grant);

    // Stops new requests on the partition; requests in flight continue.
    void beginRelease(const PartitionId& partition);

    // Resumes serving the partition after a release that is known not to have taken effect.
    void cancelRelease(const PartitionId& partition);

    void drop(const PartitionId& partition);
    void dropAll();

    // Reports whether a request could start now, without starting one.
    Permit check(const PartitionId& partition, TimePoint now) const;

    // Starts one request. A granted request must be matched by a call of `end`.
    Permit begin(const PartitionId& partition, TimePoint now);
    void end(const PartitionId& partition);

    // Number of requests that have started and not ended.
    int inFlight(const PartitionId& partition) const;

    std::map<PartitionId, Grant> grants() const;

private:
    // Requires that the mutex is held.
    Permit permitLocked(const PartitionId& partition, TimePoint now) const;

    mutable std::mutex mutex_;
    TimePoint leaseEnd_;
    std::map<PartitionId, Grant> grants_;
    std::map<PartitionId, int> inFlight_;
};

}
