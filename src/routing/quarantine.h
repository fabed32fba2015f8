#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// Quarantines requests that crash backend servers. A request that was in flight when a server crashed becomes
// a suspect. From its second crash on it is refused for some time, which grows with each further crash. After
// that a single run tries whether it still crashes servers. An answer from a server clears it. Does no I/O;
// not thread-safe.
class Quarantine {
public:
    // A request that was in flight when a server crashed.
    struct Run {
        std::string fingerprint;
        Duration age { 0 }; // How long it had been running.
    };

    // Records that a server crashed while the requests were in flight. `crashId` identifies the crash: a
    // crash that is reported twice counts once. Returns the fingerprints that are quarantined because of it.
    std::vector<std::string> recordCrash(
        const std::string& crashId, const std::vector<Run>& runs, TimePoint now);

    // Records what another instance knows of a request: that it has crashed this number of servers.
    void recordCrashes(const std::string& fingerprint, int crashes, TimePoint now);

    // Records that a run of the request has started. If the request was quarantined before, it is refused
    // again until the outcome of this run is known, for `firstTerm` at most. Returns whether it is.
    bool recordTrial(const std::string& fingerprint, TimePoint now);

    // Records that a server has answered a run that began at `begunAt`. Returns whether this clears a
    // suspect; a run that began before the latest crash does not.
    bool recordAnswer(const std::string& fingerprint, TimePoint begunAt);

    // Removes a suspect that another instance has cleared.
    void clear(const std::string& fingerprint) { suspects_.erase(fingerprint); }

    // How much longer the request is refused; zero if it may run.
    Duration refusedFor(const std::string& fingerprint, TimePoint now) const;

    // The number of servers that the request has crashed, without those whose crash has another suspect.
    int crashes(const std::string& fingerprint) const;

    // Removes suspects and reports of crashes that are too old to matter.
    void expire(TimePoint now);

    size_t size() const { return suspects_.size(); }

    // How long a crash counts against a request that has not been quarantined yet.
    static constexpr std::chrono::seconds suspectRetention { 60 };
    // How long the first quarantine of a request lasts.
    static constexpr std::chrono::seconds firstTerm { 5 };
    // How long after the end of its quarantine one more crash quarantines a request again.
    static constexpr std::chrono::hours probation { 1 };

private:
    struct Suspect {
        int crashes = 0;
        TimePoint lastCrash;
        TimePoint refusedUntil;
    };

    bool isKnownCrash(const std::string& crashId) const;
    int mostCrashes(const std::vector<Run>& runs, TimePoint now) const;
    static Suspect suspectWith(int crashes, TimePoint now);
    static TimePoint expiry(const Suspect& suspect);

    std::map<std::string, Suspect> suspects_; // By fingerprint.
    std::deque<std::pair<TimePoint, std::string>> recentCrashes_; // Ids of crashes by time.
};

// Returns a hash of the parts of a request that determine how a server processes it.
std::string requestFingerprint(const std::string& team, const std::string& route, const std::string& method,
    const std::string& target, const std::string& body);

}
