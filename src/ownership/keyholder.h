#pragma once

#include "base/time.h"
#include "ownership/keytable.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// A range that a server holds or is to hold.
struct KeyGrant {
    int64_t first = 0;
    int64_t last = 0;
    int64_t fence = 0;
    std::string handover; // What the last owner left; empty when it left nothing.
};

// What a server says of its keys in a report.
struct KeyReport {
    ServerLife server;
    std::vector<KeyGrant> holds; // Held, or still worked on.
    std::vector<KeyGrant> released; // Let go since its last acknowledged report; the fence is not told.
};

// What the server is to hold from now on.
struct KeyAnswer {
    std::vector<KeyGrant> grants;
    Milliseconds holdTime { 0 }; // Counted from when the report was sent; 0 renews nothing.
};

struct KeyHolderOptions {
    std::string instance;
    // How long a server may hold keys after a report; a few of its report intervals.
    Milliseconds holdTime { 3'000 };
    // A server's clock may run slow by so many percent.
    int driftPercent = 2;
};

// Decides which ranges the server beside this instance holds, by the key table and the instance's lease.
// Pure.
class KeyHolder {
public:
    explicit KeyHolder(KeyHolderOptions options);

    // Until when this instance may grant anything.
    void setLeaseEnd(TimePoint end) { leaseEnd_ = end; }

    // The answer to a report of the server.
    KeyAnswer report(const KeyReport& report, const stored::KeyTable& table, TimePoint now);

    // Whether the server may be given work on the key at that moment.
    bool mayRun(int key, TimePoint now) const;

    // Whether the life that reported last has let the range go: it said so, or all that it was granted of the
    // range has run out. That a report names no hold is no proof: it may have been sent before the grant
    // arrived.
    bool isReleased(const stored::KeyRange& range, TimePoint now) const;
    std::string handover(const stored::KeyRange& range) const;

    // Whether everything that was ever granted to other lives has run out.
    bool haveEarlierGrantsEnded(const ServerLife& life, TimePoint now) const;
    // Whether everything that was ever granted has run out.
    bool haveAllGrantsEnded(TimePoint now) const;

    // A daemon that has just started does not know what an earlier run granted.
    void assumeEarlierGrants(TimePoint now);

private:
    Duration longestHold(Duration holdTime) const;
    void settle(const KeyGrant& range);

    KeyHolderOptions options_;
    TimePoint leaseEnd_;
    ServerLife server_; // That reported last.
    std::vector<KeyGrant> granted_; // In the last answer.
    // What the present life may hold by any answer until when, and has not said to have let go since.
    struct Outstanding {
        int64_t first = 0;
        int64_t last = 0;
        TimePoint until;
    };
    std::vector<Outstanding> outstanding_;
    std::vector<KeyGrant> reported_; // In the last report.
    std::vector<KeyGrant> released_; // Let go by the present life, newest last.
    TimePoint grantedUntil_; // When the present life's grants have ended for certain.
    TimePoint mayRunUntil_;
    TimePoint earlierGrantedUntil_;
};

}
