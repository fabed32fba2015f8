#include "membership/lapseproof.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {

LapseProof::LapseProof(const LeaseTiming& timing, WitnessSet witnesses, TimePoint claimKnown)
    : timing_(timing)
    , witnesses_(std::move(witnesses))
    , claimKnown_(claimKnown)
{
}

bool LapseProof::hasMajority() const
{
    return latestConfirmation_.size() >= witnesses_.size() / 2 + 1;
}

WitnessSet LapseProof::wanted() const
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

void LapseProof::promised(
    const InstanceId& witness, std::optional<Duration> sinceConfirmed, TimePoint receivedAt)
{
    if (std::find(witnesses_.begin(), witnesses_.end(), witness) == witnesses_.end())
        return;
    std::optional<TimePoint> latest;
    if (sinceConfirmed)
        latest = receivedAt - timing_.leastTrue(*sinceConfirmed);
    const auto [entry, isNew] = latestConfirmation_.emplace(witness, latest);
    // Of several answers the earliest estimate is right too: after its promise a witness confirms no more.
    if (!isNew && latest && entry->second)
        entry->second = std::min(*entry->second, *latest);
}

void LapseProof::witnessLapsed(const InstanceId& witness, TimePoint provenAt)
{
    if (std::find(witnesses_.begin(), witnesses_.end(), witness) != witnesses_.end())
        latestConfirmation_.emplace(witness, provenAt);
}

std::optional<TimePoint> LapseProof::certainFrom() const
{
    if (witnesses_.empty())
        return claimKnown_ + timing_.lapseWait();
    if (!hasMajority())
        return std::nullopt;
    TimePoint certain = claimKnown_;
    for (const auto& [witness, latest] : latestConfirmation_) {
        if (latest)
            certain = std::max(certain, *latest + timing_.lapseWait());
    }
    return certain;
}

bool LapseProof::isProven(TimePoint now) const
{
    const auto certain = certainFrom();
    return certain && now >= *certain;
}

}
