#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace persimmonfield {

// Limits the starts at a server that is cold.
struct StartLimit {
    Duration delay { 0 }; // Until the next start.
    Duration interval { 0 }; // Between two starts.
    Duration left { 0 }; // Until the server is warm; zero if it is.
};

// Limits the rate at which requests start at a server that tolerates fewer of them while it is cold. A server
// may turn cold at any moment and says so only when it is asked or with its next report. After each
// confirmation that it is warm it is therefore sent no more requests than it would tolerate if it had turned
// cold at once. Requests at the rate of a cold server need no confirmation. Does no I/O and reads no clock.
class ColdRateLimit {
public:
    // Nothing is known of the server at first. An earlier process may have just sent it as many requests as a
    // cold one tolerates.
    explicit ColdRateLimit(TimePoint now)
        : startedAt_(now)
    {
    }

    // Sets how many requests per second a cold server tolerates, 0 for any number, and by which factor a
    // single second may exceed that.
    void setRate(double perSecond, double overload);
    // Sets whether the server can be asked; if not, its reports are trusted until the next one.
    void setCanAsk(bool canAsk) { canAsk_ = canAsk; }

    // Called when another incarnation of the server has reported.
    void onNewServer();
    // The server's report says that it is cold until this time.
    void onReport(TimePoint coldUntil, TimePoint now);
    void onStart(TimePoint now);

    // Whether the server should be asked now whether it is cold.
    bool shouldAsk(TimePoint now);
    // Called when the server is being asked; followed by onAnswer() or onNoAnswer() unless it is replaced.
    void onAsked();
    void onAnswer(Milliseconds coldFor, TimePoint now);
    void onNoAnswer(TimePoint now);

    // The time until one more request may start if the server confirms nothing until then; zero if it may
    // start now.
    Duration delay(TimePoint now);
    // The limit of the starts if the server is known to be cold; nothing is limited otherwise.
    StartLimit startLimit(TimePoint now);

private:
    bool isLimited() const { return perSecond_ > 0; }
    // The number of starts within the last second that a cold server tolerates.
    size_t toleratedStarts() const;
    size_t maxUnconfirmedStarts() const;
    bool isConfirmed(TimePoint now) const;
    // The time until no second has more starts than a cold server tolerates.
    Duration coldDelay(TimePoint now);
    void forgetOldStarts(TimePoint now);

    double perSecond_ = 0;
    double overload_ = 1;
    bool canAsk_ = false;
    TimePoint startedAt_;
    TimePoint coldUntil_;
    std::deque<TimePoint> recentStarts_; // Starts within the last second.
    bool wasWarm_ = false; // At the last confirmation.
    size_t unconfirmedStarts_ = 0; // Since the last confirmation.
    size_t startsBeforeAsking_ = 0; // Of unconfirmedStarts_, those before the server was asked.
    bool isAsking_ = false;
    TimePoint nextAskAt_; // After a question that was not answered.
};

}
