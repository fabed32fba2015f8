#include "ownership/takeover.h"

#include "base/hashing.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds suspicionLifetime { 1'000 };
    constexpr Milliseconds promiseRequestInterval { 150 };
    // An entry without witnesses, which is renewed only through the store, is suspected if it has not changed
    // for this long.
    constexpr Milliseconds storeSilenceTimeout { 3'000 };
    // A claim that its claimant does not complete within this time may be replaced by another instance's
    // claim.
    constexpr Milliseconds claimTimeout { 4'000 };

    WitnessSet witnessesOf(const stored::NodeEntry& entry)
    {
        WitnessSet witnesses;
        for (const stored::WitnessName& witness : entry.witnesses)
            witnesses.push_back(instanceId(witness));
        return witnesses;
    }

    std::string claimantOf(const InstanceId& id)
    {
        return nodeObject(id);
    }

}

uint64_t coordinatorRank(const std::string& service, const std::string& instanceName)
{
    return stableHash("coordinator\n" + service + "\n" + instanceName);
}

Takeover::Takeover(InstanceId self, const LeaseTiming& timing)
    : self_(std::move(self))
    , timing_(timing)
{
}

void Takeover::noteSuspicion(const InstanceId& holder, const InstanceId& witness, TimePoint now)
{
    suspicions_[holder][witness] = now;
}

void Takeover::notePromise(const InstanceId& holder, const InstanceId& witness,
    std::optional<Duration> sinceConfirmed, TimePoint now)
{
    const auto found = proofs_.find(nodeObject(holder));
    if (found != proofs_.end())
        found->second.proof.onPromise(witness, sinceConfirmed, now);
}

void Takeover::writeEnded(const std::string& objectName)
{
    writesInFlight_.erase(objectName);
}

TakeoverActions Takeover::step(
    const FleetView& view, const std::function<bool(const stored::NodeEntry&)>& isMine, TimePoint now)
{
    TakeoverActions actions;
    for (const auto& [objectName, node] : view.nodes) {
        observe(objectName, *node, now);
        const stored::NodeEntry& entry = node->entry;
        const InstanceId id = instanceId(entry);
        if (entry.state == stored::State::Lapsed || id == self_ || writesInFlight_.count(objectName) > 0)
            continue;
        const bool isClaimed = entry.state == stored::State::Claimed;
        if (isClaimed && entry.claimedBy == claimantOf(self_))
            advanceProof(objectName, *node, view, now, actions);
        else if ((isClaimed ? isClaimStale(*node, view, now) : isSuspected(*node, view, now))
            && isMine(entry))
            claim(objectName, *node, actions);
    }
    return actions;
}

void Takeover::observe(const std::string& objectName, const KnownNode& node, TimePoint now)
{
    Observation& observation = observations_[objectName];
    if (observation.version == node.version)
        return;
    observation = { node.version, now };
}

bool Takeover::isSilentInStore(const KnownNode& node, TimePoint now) const
{
    const auto seen = observations_.find(nodeObject(instanceId(node.entry)));
    return seen != observations_.end() && now - seen->second.since > storeSilenceTimeout;
}

bool Takeover::isSuspected(const KnownNode& node, const FleetView& view, TimePoint now)
{
    if (node.entry.witnesses.empty())
        return isSilentInStore(node, now);
    const auto reports = suspicions_.find(instanceId(node.entry));
    if (reports == suspicions_.end())
        return false;
    size_t count = 0;
    for (const stored::WitnessName& name : node.entry.witnesses) {
        const auto report = reports->second.find(instanceId(name));
        const bool isReported = report != reports->second.end() && now - report->second < suspicionLifetime;
        const KnownNode* witness = view.node(instanceId(name));
        const bool isGone = witness && witness->entry.state != stored::State::Joined;
        if (isReported || isGone)
            ++count;
    }
    return count >= node.entry.witnesses.size() / 2 + 1;
}

bool Takeover::isClaimStale(const KnownNode& node, const FleetView& view, TimePoint now) const
{
    const auto claimant = view.nodes.find(node.entry.claimedBy);
    const bool isClaimantJoined
        = claimant != view.nodes.end() && claimant->second->entry.state == stored::State::Joined;
    const auto seen = observations_.find(nodeObject(instanceId(node.entry)));
    return !isClaimantJoined || (seen != observations_.end() && now - seen->second.since > claimTimeout);
}

void Takeover::claim(const std::string& objectName, const KnownNode& node, TakeoverActions& actions)
{
    NodeWrite write { objectName, node.entry, node.version };
    write.entry.state = stored::State::Claimed;
    write.entry.claimedBy = claimantOf(self_);
    write.entry.operationId = randomHex(16);
    writesInFlight_.insert(objectName);
    actions.writes.push_back(std::move(write));
}

void Takeover::advanceProof(const std::string& objectName, const KnownNode& node, const FleetView& view,
    TimePoint now, TakeoverActions& actions)
{
    auto found = proofs_.find(objectName);
    if (found == proofs_.end() || found->second.claimVersion != node.version) {
        PendingProof fresh { LapseProof(timing_, witnessesOf(node.entry), now), node.version, now };
        found = proofs_.insert_or_assign(objectName, std::move(fresh)).first;
    }
    PendingProof& pending = found->second;
    for (const stored::WitnessName& name : node.entry.witnesses) {
        const KnownNode* witness = view.node(instanceId(name));
        if (witness && witness->entry.state == stored::State::Lapsed)
            pending.proof.onWitnessLapsed(instanceId(name), now);
    }
    if (pending.proof.isProven(now)) {
        NodeWrite write { objectName, node.entry, node.version };
        write.entry.state = stored::State::Lapsed;
        write.entry.operationId = randomHex(16);
        writesInFlight_.insert(objectName);
        actions.writes.push_back(std::move(write));
        actions.proven.push_back(instanceId(node.entry));
        return;
    }
    if (now < pending.nextRequest)
        return;
    pending.nextRequest = now + promiseRequestInterval;
    for (const InstanceId& witness : pending.proof.missingWitnesses())
        actions.promiseRequests.push_back({ witness, instanceId(node.entry) });
}

}
