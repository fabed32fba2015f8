#pragma once

#include "base/time.h"

#include <map>
#include <set>
#include <string>

namespace persimmonfield {

// Quarantines requests that crash backend servers. A request that was in flight when a server crashed becomes
// a suspect. After a second crash the request is refused for some time, even if the caller keeps retrying it.
// Does no I/O; not thread-safe.
class Quarantine {
public:
    // Records that a server crashed while the request was in flight. `crashId` identifies the crash, so that
    // a crash that is reported twice counts once.
    void recordCrash(const std::string& fingerprint, const std::string& crashId, TimePoint now);

    bool isQuarantined(const std::string& fingerprint, TimePoint now) const;

    // Removes suspects whose last crash is older than `retention`.
    void expire(TimePoint now);

    size_t size() const { return suspects_.size(); }

    // How long after its last crash a suspect is remembered and a quarantined request is refused.
    static constexpr std::chrono::seconds retention { 60 };

private:
    struct Suspect {
        std::set<std::string> crashIds;
        TimePoint lastCrash;
    };

    std::map<std::string, Suspect> suspects_; // By fingerprint.
};

// Returns a hash of the parts of a request that determine how a server processes it.
std::string requestFingerprint(const std::string& team, const std::string& route, const std::string& method,
    const std::string& target, const std::string& body);

}
