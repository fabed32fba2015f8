#include "ownership/takeover.h"

#include "base/hashing.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds suspicionLifetime { 1'000 };
    constexpr Milliseconds askInterval { 150 };
    // An entry renewed through the store alone that stands still for so long is suspected.
    constexpr Milliseconds storeSilenceBound { 3'000 };
    // A claim that its maker does not bring to an end within this time is taken up by another.
    constexpr Milliseconds claimPatience { 4'000 };

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

void Takeover::suspected(const InstanceId& holder, const InstanceId& witness, TimePoint now)
{
    suspicions_[holder][witness] = now;
}

void Takeover::promised(const InstanceId& holder, const InstanceId& witness,
    std::optional<Duration> sinceConfirmed, TimePoint now)
{
    const auto found = proofs_.find(nodeObject(holder));
    if (found != proofs_.end())
        found->second.proof.onPromise(witness, sinceConfirmed, now);
}

void Takeover::writeEnded(const std::string& objectName)
{
    writing_.erase(objectName);
}

TakeoverActions Takeover::step(
    const FleetView& view, const std::function<bool(const stored::NodeEntry&)>& isMine, TimePoint now)
{
    TakeoverActions actions;
    for (const auto& [objectName, node] : view.nodes) {
        noteSeen(objectName, *node, now);
        const stored::NodeEntry& entry = node->entry;
        const InstanceId id = instanceId(entry);
        if (entry.state == stored::State::Lapsed || id == self_ || writing_.count(objectName) > 0)
            continue;
        const bool isClaimed = entry.state == stored::State::Claimed;
        if (isClaimed && entry.claimedBy == claimantOf(self_))
            pursue(objectName, *node, view, now, actions);
        else if ((isClaimed ? isClaimStale(*node, view, now) : isSuspected(*node, view, now))
            && isMine(entry))
            claim(objectName, *node, actions);
    }
    return actions;
}

void Takeover::noteSeen(const std::string& objectName, const KnownNode& node, TimePoint now)
{
    Seen& seen = seen_[objectName];
    if (seen.version == node.version)
        return;
    seen = { node.version, now };
}

bool Takeover::isSilentInStore(const KnownNode& node, TimePoint now) const
{
    const auto seen = seen_.find(nodeObject(instanceId(node.entry)));
    return seen != seen_.end() && now - seen->second.since > storeSilenceBound;
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
    const bool claimantLives
        = claimant != view.nodes.end() && claimant->second->entry.state == stored::State::Joined;
    const auto seen = seen_.find(nodeObject(instanceId(node.entry)));
    return !claimantLives || (seen != seen_.end() && now - seen->second.since > claimPatience);
}

void Takeover::claim(const std::string& objectName, const KnownNode& node, TakeoverActions& actions)
{
    NodeWrite write { objectName, node.entry, node.version };
    write.entry.state = stored::State::Claimed;
    write.entry.claimedBy = claimantOf(self_);
    write.entry.operationId = randomHex(16);
    writing_.insert(objectName);
    actions.writes.push_back(std::move(write));
}

void Takeover::pursue(const std::string& objectName, const KnownNode& node, const FleetView& view,
    TimePoint now, TakeoverActions& actions)
{
    auto found = proofs_.find(objectName);
    if (found == proofs_.end() || found->second.claimVersion != node.version) {
        Proof fresh { LapseProof(timing_, witnessesOf(node.entry), now), node.version, now };
        found = proofs_.insert_or_assign(objectName, std::move(fresh)).first;
    }
    Proof& pursuit = found->second;
    for (const stored::WitnessName& name : node.entry.witnesses) {
        const KnownNode* witness = view.node(instanceId(name));
        if (witness && witness->entry.state == stored::State::Lapsed)
            pursuit.proof.onWitnessLapsed(instanceId(name), now);
    }
    if (pursuit.proof.isProven(now)) {
        NodeWrite write { objectName, node.entry, node.version };
        write.entry.state = stored::State::Lapsed;
        write.entry.operationId = randomHex(16);
        writing_.insert(objectName);
        actions.writes.push_back(std::move(write));
        actions.proven.push_back(instanceId(node.entry));
        return;
    }
    if (now < pursuit.nextAsk)
        return;
    pursuit.nextAsk = now + askInterval;
    for (const InstanceId& witness : pursuit.proof.missingWitnesses())
        actions.asks.push_back({ witness, instanceId(node.entry) });
}

}
