#include "membership/lapseproof.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {

LapseProof::LapseProof(const LeaseTiming& timing, WitnessSet witnesses, TimePoint claimedAt)
    : timing_(timing)
    , witnesses_(std::move(witnesses))
    , claimedAt_(claimedAt)
{
}

bool LapseProof::hasMajority() const
{
    return latestConfirmation_.size() >= witnesses_.size() / 2 + 1;
}

WitnessSet LapseProof::missingWitnesses() const
{
    WitnessSet missing;
    if (witnesses_.empty() || hasMajority())
        return missing;
    for (const InstanceId& witness : witnesses_) {
        if (latestConfirmation_.count(witness) == 0)
            missing.push_back(witness);
    }
    return missing;
}

void LapseProof::onPromise(
    const InstanceId& witness, std::optional<Duration> sinceConfirmed, TimePoint receivedAt)
{
    if (std::find(witnesses_.begin(), witnesses_.end(), witness) == witnesses_.end())
        return;
    std::optional<TimePoint> latest;
    if (sinceConfirmed)
        latest = receivedAt - timing_.minTrueDuration(*sinceConfirmed);
    const auto [entry, isNew] = latestConfirmation_.emplace(witness, latest);
    // A witness confirms nothing after its promise, so all its answers describe the same last confirmation
    // and the earliest estimate is valid.
    if (!isNew && latest && entry->second)
        entry->second = std::min(*entry->second, *latest);
}

void LapseProof::onWitnessLapsed(const InstanceId& witness, TimePoint provenAt)
{
    if (std::find(witnesses_.begin(), witnesses_.end(), witness) != witnesses_.end())
        latestConfirmation_.emplace(witness, provenAt);
}

std::optional<TimePoint> LapseProof::provenFrom() const
{
    if (witnesses_.empty())
        return claimedAt_ + timing_.lapseWait();
    if (!hasMajority())
        return std::nullopt;
    TimePoint from = claimedAt_;
    for (const auto& [witness, latest] : latestConfirmation_) {
        if (latest)
            from = std::max(from, *latest + timing_.lapseWait());
    }
    return from;
}

bool LapseProof::isProven(TimePoint now) const
{
    const auto from = provenFrom();
    return from && now >= *from;
}

}
