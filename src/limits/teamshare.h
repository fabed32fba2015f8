#pragma once

#include "base/time.h"
#include "limits/sharedemand.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace persimmonfield {

// An instance's part of a team's rate: tokens handed out by the home, each batch usable until it expires.
// Pure; not thread-safe.
class TeamShare {
public:
    // Spends one token if there is a usable one.
    bool trySpend(TimePoint now);

    // A request found no token and waits, or no longer does.
    void addWaiter() { ++waiting_; }
    void removeWaiter() { --waiting_; }

    // What to ask the home; nothing while an answer is awaited or nothing is wanted.
    std::optional<ShareDemand> demand(TimePoint now);

    // The home's answer to that demand; an answer to another one is passed over.
    void granted(int64_t sequence, const ShareAnswer& answer, TimePoint now);

    // The home changed: what it handed out is void with it.
    void forgetHome();

    // When the home expects to have tokens again, after it had none.
    std::optional<TimePoint> refusedUntil() const { return refusedUntil_; }

    int64_t available(TimePoint now);

private:
    struct Batch {
        int64_t tokens = 0;
        TimePoint expires;
    };

    void dropExpired(TimePoint now);
    int64_t forecast(TimePoint now);

    std::deque<Batch> batches_;
    int64_t spent_ = 0; // Since the last demand.
    int64_t waiting_ = 0;
    int64_t sequence_ = 0;
    std::optional<TimePoint> askedAt_; // Of the demand that awaits its answer.
    std::optional<TimePoint> refusedUntil_;
    TimePoint rateSince_;
    int64_t rateCount_ = 0;
    double ratePerSecond_ = 0;
};

}
