#include "daemon/leasemanager.h"

#include "base/hashing.h"
#include "membership/witnesschoice.h"
#include "ownership/grantreconciler.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds storeRenewInterval { 500 };
    constexpr Milliseconds witnessCheckInterval { 500 };
    constexpr Milliseconds proposalTimeout { 3'000 };
    constexpr Milliseconds writeRetryPause { 200 };

    std::vector<stored::WitnessName> toWitnessNames(const WitnessSet& witnesses)
    {
        std::vector<stored::WitnessName> names;
        for (const InstanceId& witness : witnesses)
            names.push_back(toWitness(witness));
        return names;
    }

    std::vector<WitnessCandidate> candidatesOf(const FleetView& view)
    {
        std::vector<WitnessCandidate> candidates;
        for (const auto& [name, node] : view.nodes) {
            if (node->entry.state == stored::State::Joined && !node->entry.departing)
                candidates.push_back({ instanceId(node->entry), node->entry.zone });
        }
        return candidates;
    }

}

LeaseManager::LeaseManager(ControlContext& context)
    : context_(context)
    , holder_(context.timing)
    , witness_(context.timing)
{
    entry_.name = context.self.name;
    entry_.incarnation = context.self.incarnation;
    entry_.zone = context.settings.zone;
    entry_.service = context.settings.service;
    entry_.peerAddress = context.settings.peerAddress;
    entry_.operatorAddress = context.settings.operatorAddress;
    entry_.checksFences = context.settings.serverChecksFences;
    entry_.departing = false;
    entry_.serverUp = false;
    entry_.storeRenewals = 0;
    entry_.state = stored::State::Joined;
}

void LeaseManager::step(TimePoint now)
{
    if (isOver_)
        return;
    checkOwnEntry();
    if (!isOver_ && holder_.hasLapsed(now)) {
        context_.timeline->record("lease-lost", { { "incarnation", context_.self.incarnation } });
        context_.counters->counter("leases_lost_total")++;
        resign();
    }
    if (isOver_)
        return;
    renew(now);
    updateWitnesses(now);
    updateEntry(now);
    publishLease();
}

// If another daemon has claimed this entry or marked it as lapsed, this incarnation is over. Resigning at
// once lets its partitions be reassigned without waiting for the lease to expire.
void LeaseManager::checkOwnEntry()
{
    const KnownNode* known = context_.view->node(context_.self);
    if (!known || known->entry.state == stored::State::Joined)
        return;
    entryVersion_ = std::max(entryVersion_, known->version);
    context_.timeline->record("claimed-by-other", { { "by", known->entry.claimedBy } });
    resign();
}

void LeaseManager::resign()
{
    const bool mayLapseImmediately = !holdsRecentTeamHome();
    context_.authority->setLeaseEnd({});
    context_.authority->dropAll();
    isOver_ = true;
    *isAlive_ = false;
    if (entryVersion_ == 0 || !mayLapseImmediately)
        return;
    stored::NodeEntry last = entry_;
    last.state = stored::State::Lapsed;
    last.operationId = randomHex(16);
    const std::string value = nlohmann::json(last).dump();
    const std::string name = nodeObject(context_.self);
    auto onWritten = context_.onWritten;
    context_.store->write({ name, value, entryVersion_, last.operationId },
        [onWritten, name, value](const WriteResult& result, TimePoint) {
            if (result.outcome == WriteOutcome::Applied)
                onWritten(name, value, result.version);
        });
}

// Whether this instance became the home of a team so recently that tokens granted by the previous home may
// not have expired. Such a home must not be replaced immediately; waiting for the lapse proof ensures that.
bool LeaseManager::holdsRecentTeamHome() const
{
    const TimePoint now = BootClock::now();
    for (const auto& [partition, grant] : context_.authority->grants()) {
        if (partition.service == teamHomeService && now - grant.acquiredAt < minGrantAge)
            return true;
    }
    return false;
}

void LeaseManager::renew(TimePoint now)
{
    if (now < nextRenewal_)
        return;
    nextRenewal_ = now + context_.timing.renewInterval;
    const WitnessSet witnesses = holder_.witnesses();
    if (witnesses.empty())
        return;
    const auto sequence = holder_.beginRenewal(now);
    if (!sequence)
        return;
    peer::PeerMessage message;
    message.renewal = peer::Renewal { toMessage(context_.self), *sequence };
    for (const InstanceId& witness : witnesses)
        context_.send(witness, message);
    context_.counters->counter("renewals_sent_total") += static_cast<int64_t>(witnesses.size());
}

std::optional<peer::RenewalAck> LeaseManager::onRenewal(const peer::Renewal& renewal, TimePoint now)
{
    const InstanceId holder = instanceId(renewal.holder);
    const KnownNode* known = context_.view->node(holder);
    const bool isGone = known && known->entry.state != stored::State::Joined;
    if (isGone || isOver_ || !witness_.confirm(holder, now < holder_.leaseEnd(), now))
        return std::nullopt;
    peer::RenewalAck ack;
    ack.holder = renewal.holder;
    ack.witness = toMessage(context_.self);
    ack.sequence = renewal.sequence;
    return ack;
}

void LeaseManager::onRenewalAck(const peer::RenewalAck& ack, TimePoint now)
{
    if (isOver_ || instanceId(ack.holder) != context_.self)
        return;
    holder_.onRenewalAck(instanceId(ack.witness), ack.sequence, now);
    publishLease();
}

peer::Promise LeaseManager::onPromiseRequest(const peer::PromiseRequest& request, TimePoint now)
{
    const auto since = witness_.promise(instanceId(request.holder), now);
    peer::Promise promise;
    promise.holder = request.holder;
    promise.witness = toMessage(context_.self);
    promise.sinceLastAckMs = since ? std::chrono::duration_cast<Milliseconds>(*since).count() : -1;
    return promise;
}

void LeaseManager::updateWitnesses(TimePoint now)
{
    for (const InstanceId& holder : witness_.holders()) {
        const KnownNode* known = context_.view->node(holder);
        if (known && known->entry.state == stored::State::Lapsed)
            witness_.forget(holder);
    }
    if (now < nextWitnessCheck_ || entryVersion_ == 0)
        return;
    nextWitnessCheck_ = now + witnessCheckInterval;
    if (holder_.hasProposal()) {
        if (!pendingWrite_ && now - proposedAt_ > proposalTimeout) {
            holder_.withdrawProposal();
            witnessView_.reset();
        }
        return;
    }
    if (std::exchange(witnessView_, context_.view) == context_.view)
        return;
    WitnessSet chosen = chooseWitnesses(context_.self, candidatesOf(*context_.view), holder_.currentSet());
    WitnessSet present = holder_.currentSet();
    std::sort(chosen.begin(), chosen.end());
    std::sort(present.begin(), present.end());
    const bool isImprovement = !chosen.empty() && chosen != present;
    if (!isImprovement)
        return;
    holder_.propose(chosen);
    proposedAt_ = now;
    nextRenewal_ = now;
}

stored::NodeEntry LeaseManager::desiredEntry() const
{
    stored::NodeEntry entry = entry_;
    entry.departing = context_.isStopping || context_.isServerDraining();
    entry.serverUp = context_.isServerUp();
    return entry;
}

void LeaseManager::updateEntry(TimePoint now)
{
    if (pendingWrite_ || now < nextWriteAttempt_)
        return;
    stored::NodeEntry desired = desiredEntry();
    const bool isChanged = desired.departing != entry_.departing || desired.serverUp != entry_.serverUp;
    const bool isStoreRenewalDue = holder_.isConfirmedByStore() && now >= nextStoreRenewal_;
    if (holder_.isProposalConfirmed(now)) {
        desired.witnesses = toWitnessNames(holder_.proposedSet());
        holder_.beginWitnessChange();
        submit(desired, true);
    } else if (entryVersion_ == 0 || isChanged || isStoreRenewalDue) {
        if (isStoreRenewalDue)
            ++desired.storeRenewals;
        submit(desired, false);
    }
}

void LeaseManager::submit(const stored::NodeEntry& entry, bool changesWitnesses)
{
    EntryWrite write;
    write.entry = entry;
    write.entry.operationId = randomHex(16);
    write.changesWitnesses = changesWitnesses;
    write.write.name = nodeObject(context_.self);
    write.write.value = nlohmann::json(write.entry).dump();
    write.write.expectedVersion = entryVersion_;
    write.write.operationId = write.entry.operationId;
    pendingWrite_ = std::move(write);
    resubmit();
}

void LeaseManager::resubmit()
{
    context_.store->write(
        pendingWrite_->write, [this, isAlive = isAlive_](const WriteResult& result, TimePoint sentAt) {
            if (*isAlive)
                writeEnded(result, sentAt);
        });
}

void LeaseManager::writeEnded(const WriteResult& result, TimePoint sentAt)
{
    const TimePoint now = BootClock::now();
    if (result.outcome == WriteOutcome::Unknown) {
        pendingWrite_->write.mayHaveApplied = true;
        return resubmit();
    }
    const EntryWrite ended = *std::exchange(pendingWrite_, std::nullopt);
    if (result.outcome != WriteOutcome::Applied) {
        if (ended.changesWitnesses) {
            holder_.withdrawProposal();
            witnessView_.reset();
        }
        nextWriteAttempt_ = now + writeRetryPause;
        return;
    }
    const bool isFirst = entryVersion_ == 0;
    entry_ = ended.entry;
    entryVersion_ = result.version;
    nextStoreRenewal_ = sentAt + storeRenewInterval;
    if (ended.changesWitnesses)
        holder_.adoptProposal();
    else if (holder_.isConfirmedByStore())
        holder_.onStoreConfirmation(sentAt, now);
    if (isFirst)
        context_.timeline->record("joined", { { "incarnation", context_.self.incarnation } });
    if (ended.changesWitnesses)
        context_.timeline->record("witnesses-changed", { { "count", entry_.witnesses.size() } });
    context_.onWritten(ended.write.name, ended.write.value, result.version);
    publishLease();
}

void LeaseManager::publishLease()
{
    const TimePoint end = holder_.leaseEnd();
    context_.authority->setLeaseEnd(end);
    const bool holds = BootClock::now() < end;
    if (holds && !holdsLease_)
        context_.timeline->record("lease-gained", { { "incarnation", context_.self.incarnation } });
    holdsLease_ = holds;
}

}
