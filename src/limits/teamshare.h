#pragma once

#include "base/time.h"
#include "limits/tokenrequest.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace persimmonfield {

// An instance's share of a team's rate: batches of tokens granted by the team's home, each usable until it
// expires. Does no I/O and reads no clock; not thread-safe.
class TeamShare {
public:
    // Spends one token if a usable one is available.
    bool trySpend(TimePoint now);

    // Counts callers' requests that wait for a token.
    void addWaiter() { ++waiting_; }
    void removeWaiter() { --waiting_; }

    // The next request to send to the home; nullopt while an answer is pending or no request is needed.
    std::optional<TokenRequest> nextRequest(TimePoint now);

    // Handles the home's answer to the request with this sequence number. Answers to older requests are
    // ignored.
    void onGrant(int64_t sequence, const TokenGrant& grant, TimePoint now);

    // The team has a new home: tokens granted by the previous one must not be spent anymore.
    void onHomeChanged();

    // When the home expects to have tokens again; nullopt unless its last answer granted none.
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
    int64_t spent_ = 0; // Since the last request.
    int64_t waiting_ = 0;
    int64_t sequence_ = 0;
    std::optional<TimePoint> requestedAt_; // Send time of the pending request.
    std::optional<TimePoint> refusedUntil_;
    TimePoint rateSince_;
    int64_t rateCount_ = 0;
    double ratePerSecond_ = 0;
};

}
