#pragma once

#include "base/time.h"

#include <map>
#include <set>
#include <string>

namespace persimmonfield {

// Holds back requests that crash backend servers: one that was in flight at a crash is a suspect, and after
// the second crash it is refused for a while, however often its caller sends it again. Pure; not thread-safe.
class Quarantine {
public:
    // A crash with the request in flight; `crashId` names the crash, so that one told twice counts once.
    void crashed(const std::string& fingerprint, const std::string& crashId, TimePoint now);

    bool isHeldBack(const std::string& fingerprint, TimePoint now) const;

    // Forgets what is over.
    void expire(TimePoint now);

    size_t size() const { return suspects_.size(); }

    // How long a suspect is remembered, and a request held back, after its last crash.
    static constexpr std::chrono::seconds memory { 60 };

private:
    struct Suspect {
        std::set<std::string> crashes;
        TimePoint lastCrash;
    };

    std::map<std::string, Suspect> suspects_; // By fingerprint.
};

// Tells requests apart by what makes a server run them alike.
std::string requestFingerprint(const std::string& team, const std::string& route, const std::string& method,
    const std::string& target, const std::string& body);

}
