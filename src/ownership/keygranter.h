#pragma once

#include "base/time.h"
#include "ownership/keytable.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// A key range that a backend server holds or is granted.
struct KeyGrant {
    int64_t first = 0;
    int64_t last = 0;
    int64_t fence = 0;
    std::string handover; // Opaque data left by the previous owner; empty if there is none.
};

// The part of a backend server's report that concerns its keys.
struct KeyReport {
    ServerIncarnation server;
    std::vector<KeyGrant> holds; // Ranges that it holds or still processes requests for.
    std::vector<KeyGrant> released; // Ranges released since its last acknowledged report; `fence` is not set.
};

// The reply to a report: the ranges that the backend server may hold from now on.
struct KeyAnswer {
    std::vector<KeyGrant> grants;
    Milliseconds holdTime { 0 }; // Counts from when the report was sent; 0 grants and renews nothing.
};

struct KeyGranterOptions {
    std::string instance;
    // How long a backend server may hold keys after a report; a few of its report intervals.
    Milliseconds holdTime { 3'000 };
    // Maximum percentage by which a backend server's clock may run slow.
    int driftPercent = 2;
};

// Decides which key ranges the backend server of this instance may hold, based on the key table and the
// instance's lease. Does no I/O and reads no clock.
class KeyGranter {
public:
    explicit KeyGranter(KeyGranterOptions options);

    // Sets the time after which this instance may grant nothing.
    void setLeaseEnd(TimePoint end) { leaseEnd_ = end; }

    // Processes a report of the backend server and returns the reply.
    KeyAnswer report(const KeyReport& report, const stored::KeyTable& table, TimePoint now);

    // Whether the backend server may be sent a request for the key at `now`.
    bool mayRun(int key, TimePoint now) const;

    // Whether the server incarnation that reported last no longer holds any part of the range: it has
    // reported the release, or all its grants in the range have expired. The absence of a range from a report
    // proves nothing, because the report may have been sent before the grant arrived.
    bool isReleased(const stored::KeyRange& range, TimePoint now) const;
    // Returns the handover data that was released with the range; empty if there is none.
    std::string handover(const stored::KeyRange& range) const;

    // Whether all grants ever made to other server incarnations have expired.
    bool haveEarlierGrantsEnded(const ServerIncarnation& incarnation, TimePoint now) const;
    // Whether all grants ever made have expired.
    bool haveAllGrantsEnded(TimePoint now) const;

    // To be called at startup: an earlier run of this daemon may have made grants that are still valid.
    void assumeEarlierGrants(TimePoint now);

private:
    // The hold time measured by this instance's clock if the server's clock runs as slow as allowed.
    Duration maxHoldDuration(Duration holdTime) const;
    void removeOutstanding(const KeyGrant& range);

    KeyGranterOptions options_;
    TimePoint leaseEnd_;
    ServerIncarnation server_; // The incarnation that reported last.
    std::vector<KeyGrant> granted_; // Grants in the last reply.
    // A range that the current incarnation may hold until `until` because of any earlier reply, and whose
    // release it has not reported since.
    struct Outstanding {
        int64_t first = 0;
        int64_t last = 0;
        TimePoint until;
    };
    std::vector<Outstanding> outstanding_;
    std::vector<KeyGrant> reported_; // Ranges held according to the last report.
    std::vector<KeyGrant> released_; // Ranges released by the current incarnation, newest last.
    TimePoint grantedUntil_; // When all grants of the current incarnation have certainly expired.
    TimePoint mayRunUntil_;
    TimePoint earlierGrantedUntil_; // The same for earlier incarnations.
};

}
