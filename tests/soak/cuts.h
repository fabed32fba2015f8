#pragma once

#include "soak/keptcaller.h"
#include "soak/promises.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield::soak {

// The requests whose connection a daemon ended without an answer. In calm, planned work aside, that breaks a
// promise when the request ran, or when it had been sent well before.
class Cuts {
public:
    // What else happened when the connection ended.
    struct Circumstances {
        std::string machine;
        bool isCalm = false; // No harm since well before the request.
        TimePoint stoppedAt; // The last SIGTERM of the machine.
        Duration ownDelay {}; // Of the soak itself, since the request was sent.
    };

    explicit Cuts(Promises& promises)
        : promises_(promises)
    {
    }

    void noteRun(const std::string& requestId, TimePoint workUntil) { workUntil_[requestId] = workUntil; }
    void add(const KeptCaller::Cut& what, Circumstances circumstances);

    // Judges those that had the time to run meanwhile, or all.
    void judge(bool isAll);

    std::string summary() const;

private:
    struct Cut {
        KeptCaller::Cut what;
        Circumstances circumstances;
        TimePoint at;
    };

    void judge(const Cut& cut);
    bool wasWorkedOnToTheEnd(const Cut& cut) const;
    void reportBroken(const Cut& cut);

    Promises& promises_;
    std::map<std::string, TimePoint> workUntil_; // Of the last run, by request id.
    std::vector<Cut> waiting_;
    int64_t inHarm_ = 0;
    int64_t crossed_ = 0;
    int64_t behindClose_ = 0;
    int64_t late_ = 0;
    int64_t whileSending_ = 0;
};

}
