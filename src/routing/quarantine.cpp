#include "routing/quarantine.h"

#include "base/hashing.h"

namespace persimmonfield {
namespace {

    constexpr size_t quarantineThreshold = 2;
    // Every request in flight at a crash becomes a suspect although only one is at fault. This bounds the
    // memory they use.
    constexpr size_t maxSuspects = 10'000;

}

void Quarantine::recordCrash(const std::string& fingerprint, const std::string& crashId, TimePoint now)
{
    expire(now);
    if (suspects_.size() >= maxSuspects && suspects_.count(fingerprint) == 0)
        return;
    Suspect& suspect = suspects_[fingerprint];
    suspect.crashIds.insert(crashId);
    suspect.lastCrash = now;
}

bool Quarantine::isQuarantined(const std::string& fingerprint, TimePoint now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || now - found->second.lastCrash >= retention)
        return false;
    return found->second.crashIds.size() >= quarantineThreshold;
}

void Quarantine::expire(TimePoint now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();)
        suspect
            = now - suspect->second.lastCrash >= retention ? suspects_.erase(suspect) : std::next(suspect);
}

std::string requestFingerprint(const std::string& team, const std::string& route, const std::string& method,
    const std::string& target, const std::string& body)
{
    std::string text;
    for (const std::string* part : { &team, &route, &method, &target, &body }) {
        text += std::to_string(part->size());
        text += ':';
        text += *part;
    }
    return sha256Hex(text);
}

}
