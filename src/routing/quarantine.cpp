#include "routing/quarantine.h"

#include "base/hashing.h"

namespace persimmonfield {
namespace {

    constexpr size_t crashesToHoldBack = 2;
    // Of several suspects in flight at one crash only one is at fault; the bound keeps the memory small.
    constexpr size_t mostSuspects = 10'000;

}

void Quarantine::crashed(const std::string& fingerprint, const std::string& crashId, TimePoint now)
{
    expire(now);
    if (suspects_.size() >= mostSuspects && suspects_.count(fingerprint) == 0)
        return;
    Suspect& suspect = suspects_[fingerprint];
    suspect.crashes.insert(crashId);
    suspect.lastCrash = now;
}

bool Quarantine::isHeldBack(const std::string& fingerprint, TimePoint now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || now - found->second.lastCrash >= memory)
        return false;
    return found->second.crashes.size() >= crashesToHoldBack;
}

void Quarantine::expire(TimePoint now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();)
        suspect = now - suspect->second.lastCrash >= memory ? suspects_.erase(suspect) : std::next(suspect);
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
