#include "membership/leaseholder.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace persimmonfield {

LeaseHolder::LeaseHolder(const LeaseTiming& timing)
    : timing_(timing)
{
}

std::optional<TimePoint> LeaseHolder::Confirmations::confirmedFrom() const
{
    if (isStore())
        return newestByStore;
    const size_t majority = witnesses.size() / 2 + 1;
    if (newest.size() < majority)
        return std::nullopt;
    std::vector<TimePoint> times;
    for (const auto& [witness, sentAt] : newest)
        times.push_back(sentAt);
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

TimePoint LeaseHolder::endOf(const Confirmations& confirmations) const
{
    const auto from = confirmations.confirmedFrom();
    return from ? *from + timing_.leaseDuration : TimePoint();
}

TimePoint LeaseHolder::leaseEnd() const
{
    if (isLapsed_)
        return {};
    const TimePoint end = endOf(current_);
    return isChanging_ && proposal_ ? std::min(end, endOf(*proposal_)) : end;
}

bool LeaseHolder::hasLapsed(TimePoint now)
{
    if (wasHeld_ && now >= leaseEnd())
        isLapsed_ = true;
    return isLapsed_;
}

std::optional<int64_t> LeaseHolder::beginRenewal(TimePoint now)
{
    if (hasLapsed(now))
        return std::nullopt;
    sentAt_[++sequence_] = now;
    while (sentAt_.begin()->second + timing_.leaseDuration < now)
        sentAt_.erase(sentAt_.begin());
    return sequence_;
}

void LeaseHolder::confirm(Confirmations& confirmations, const InstanceId& witness, TimePoint sentAt)
{
    const auto& witnesses = confirmations.witnesses;
    if (std::find(witnesses.begin(), witnesses.end(), witness) == witnesses.end())
        return;
    TimePoint& newest = confirmations.newest[witness];
    newest = std::max(newest, sentAt);
}

void LeaseHolder::onRenewalAck(const InstanceId& witness, int64_t sequence, TimePoint now)
{
    const auto sent = sentAt_.find(sequence);
    if (hasLapsed(now) || sent == sentAt_.end())
        return;
    confirm(current_, witness, sent->second);
    if (proposal_)
        confirm(*proposal_, witness, sent->second);
}

void LeaseHolder::onStoreConfirmation(TimePoint sentAt, TimePoint now)
{
    if (hasLapsed(now))
        return;
    current_.newestByStore = std::max(current_.newestByStore.value_or(sentAt), sentAt);
    wasHeld_ = true;
}

WitnessSet LeaseHolder::witnesses() const
{
    WitnessSet all = current_.witnesses;
    if (proposal_) {
        for (const InstanceId& witness : proposal_->witnesses) {
            if (std::find(all.begin(), all.end(), witness) == all.end())
                all.push_back(witness);
        }
    }
    return all;
}

void LeaseHolder::propose(WitnessSet witnesses)
{
    if (isChanging_)
        return;
    proposal_ = Confirmations {};
    proposal_->witnesses = std::move(witnesses);
    for (const auto& [witness, sentAt] : current_.newest)
        confirm(*proposal_, witness, sentAt);
}

bool LeaseHolder::isProposalConfirmed(TimePoint now) const
{
    return proposal_ && endOf(*proposal_) > now;
}

void LeaseHolder::beginWitnessChange()
{
    isChanging_ = true;
}

void LeaseHolder::adoptProposal()
{
    if (!proposal_)
        return;
    current_ = *std::move(proposal_);
    proposal_.reset();
    isChanging_ = false;
}

void LeaseHolder::withdrawProposal()
{
    proposal_.reset();
    isChanging_ = false;
}

}
