#include "routing/quarantine.h"

#include "base/hashing.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr int quarantineThreshold = 2;
    constexpr int termFactor = 8;
    constexpr std::chrono::hours maxTerm { 24 };
    // Every request in flight at a crash becomes a suspect although only one is at fault. This bounds the
    // memory they use.
    constexpr size_t maxSuspects = 10'000;
    constexpr size_t maxRecentCrashes = 1'000;

}

// Of the requests in flight, the one that has crashed the most servers before is the most likely cause, so
// the crash counts against the others only if no server has crashed under any of them.
std::vector<std::string> Quarantine::recordCrash(
    const std::string& crashId, const std::vector<Run>& runs, TimePoint now)
{
    expire(now);
    if (isKnownCrash(crashId))
        return {};
    recentCrashes_.emplace_back(now, crashId);
    if (recentCrashes_.size() > maxRecentCrashes)
        recentCrashes_.pop_front();
    const int most = mostCrashes(runs, now);
    std::vector<std::string> quarantined;
    for (const Run& run : runs) {
        const auto found = suspects_.find(run.fingerprint);
        if (found == suspects_.end()) {
            if (suspects_.size() < maxSuspects)
                suspects_[run.fingerprint] = suspectWith(1, now);
            continue;
        }
        Suspect& suspect = found->second;
        const bool hasBegunSince = now - run.age >= suspect.lastCrash;
        if (!hasBegunSince || suspect.crashes < most)
            continue;
        suspect = suspectWith(suspect.crashes + 1, now);
        if (suspect.crashes >= quarantineThreshold)
            quarantined.push_back(run.fingerprint);
    }
    return quarantined;
}

void Quarantine::recordCrashes(const std::string& fingerprint, int crashes, TimePoint now)
{
    expire(now);
    if (suspects_.size() >= maxSuspects && suspects_.count(fingerprint) == 0)
        return;
    Suspect& suspect = suspects_[fingerprint];
    if (suspect.crashes < crashes)
        suspect = suspectWith(crashes, now);
}

bool Quarantine::recordTrial(const std::string& fingerprint, TimePoint now)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || found->second.crashes < quarantineThreshold)
        return false;
    found->second.refusedUntil = std::max(found->second.refusedUntil, now + firstTerm);
    return true;
}

bool Quarantine::recordAnswer(const std::string& fingerprint, TimePoint begunAt)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || begunAt < found->second.lastCrash)
        return false;
    suspects_.erase(found);
    return true;
}

Duration Quarantine::refusedFor(const std::string& fingerprint, TimePoint now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end())
        return Duration::zero();
    return std::max(Duration::zero(), found->second.refusedUntil - now);
}

int Quarantine::crashes(const std::string& fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : found->second.crashes;
}

void Quarantine::expire(TimePoint now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();)
        suspect = now >= expiry(suspect->second) ? suspects_.erase(suspect) : std::next(suspect);
    while (!recentCrashes_.empty() && now - recentCrashes_.front().first >= suspectRetention)
        recentCrashes_.pop_front();
}

bool Quarantine::isKnownCrash(const std::string& crashId) const
{
    return std::any_of(recentCrashes_.begin(), recentCrashes_.end(),
        [&crashId](const auto& crash) { return crash.second == crashId; });
}

// The highest number of crashes among the requests that have begun since their last one. A request that was
// running elsewhere when another run of it was in flight at a crash has not been repeated.
int Quarantine::mostCrashes(const std::vector<Run>& runs, TimePoint now) const
{
    int most = 0;
    for (const Run& run : runs) {
        const auto found = suspects_.find(run.fingerprint);
        if (found != suspects_.end() && now - run.age >= found->second.lastCrash)
            most = std::max(most, found->second.crashes);
    }
    return most;
}

Quarantine::Suspect Quarantine::suspectWith(int crashes, TimePoint now)
{
    if (crashes < quarantineThreshold)
        return { crashes, now, now };
    Duration term = firstTerm;
    for (int i = quarantineThreshold; i < crashes && term < maxTerm; ++i)
        term *= termFactor;
    return { crashes, now, now + std::min<Duration>(term, maxTerm) };
}

TimePoint Quarantine::expiry(const Suspect& suspect)
{
    if (suspect.crashes < quarantineThreshold)
        return suspect.lastCrash + suspectRetention;
    return suspect.refusedUntil + probation;
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
