#include "daemon/ownershipmanager.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds planInterval { 250 };
    constexpr Milliseconds takeoverInterval { 40 };
    constexpr Milliseconds removalInterval { 5'000 };
    // The entry of a lapsed instance is kept for this time, because lapse proofs of other instances may
    // depend on the lapse of a witness.
    constexpr std::chrono::seconds lapsedEntryRetention { 60 };
    constexpr Milliseconds reportInterval { 200 };
    constexpr Milliseconds suspicionLifetime { 1'000 };
    // A suspicion is sent to this many instances, since the first in rank may itself be lost.
    constexpr size_t coordinatorsNotified = 3;

}

OwnershipManager::OwnershipManager(ControlContext& context)
    : context_(context)
    , grants_(context.self, *context.authority)
    , takeover_(context.self, context.timing)
{
}

OwnershipManager::~OwnershipManager()
{
    *isAlive_ = false;
}

void OwnershipManager::onViewChange()
{
    grants_.reconcile(*context_.view, context_.store->isStoreReachable(), BootClock::now(), wallClockNow());
    isPlanDue_ = true;
}

void OwnershipManager::step(TimePoint now)
{
    writeReleases();
    if (!context_.authority->holdsLease(now))
        return;
    if (now >= nextTakeover_) {
        nextTakeover_ = now + takeoverInterval;
        advanceTakeovers(now);
    }
    if (now >= nextRemoval_) {
        nextRemoval_ = now + removalInterval;
        removeLapsedEntries(now);
    }
    if (isPlanDue_ || now >= nextTablePlan_) {
        const bool viewChanged = std::exchange(isPlanDue_, false);
        nextTablePlan_ = now + planInterval;
        grants_.reconcile(
            *context_.view, context_.store->isStoreReachable(), BootClock::now(), wallClockNow());
        writeTables(now, viewChanged);
    }
}

std::vector<InstanceId> OwnershipManager::coordinators(const std::string& service, size_t count) const
{
    const TimePoint now = BootClock::now();
    std::vector<std::pair<uint64_t, InstanceId>> ranked;
    for (const auto& [name, node] : context_.view->nodes) {
        const InstanceId id = instanceId(node->entry);
        const auto suspected = suspectedUntil_.find(id);
        const bool isSuspected = suspected != suspectedUntil_.end() && now < suspected->second;
        if (node->entry.state == stored::State::Joined && !isSuspected)
            ranked.emplace_back(coordinatorRank(service, id.name), id);
    }
    const size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<InstanceId> first;
    for (size_t i = 0; i < kept; ++i)
        first.push_back(ranked[i].second);
    return first;
}

bool OwnershipManager::isCoordinator(const std::string& service) const
{
    const auto first = coordinators(service, 1);
    return !first.empty() && first.front() == context_.self;
}

std::set<std::string> OwnershipManager::services() const
{
    std::set<std::string> names { teamHomeService };
    for (const auto& [name, service] : context_.view->configuration->services) {
        if (service.isKeyed())
            names.insert(name);
    }
    return names;
}

void OwnershipManager::advanceTakeovers(TimePoint now)
{
    std::map<std::string, bool> isMineByService;
    const auto isMine = [&](const stored::NodeEntry& entry) {
        const auto [known, isNew] = isMineByService.emplace(entry.service, false);
        if (isNew)
            known->second = isCoordinator(entry.service);
        return known->second;
    };
    const TakeoverActions actions = takeover_.step(*context_.view, isMine, now);
    for (const NodeWrite& write : actions.writes) {
        const std::string value = nlohmann::json(write.entry).dump();
        const bool isClaim = write.entry.state == stored::State::Claimed;
        const nlohmann::json fields { { "instance", write.entry.name },
            { "incarnation", write.entry.incarnation } };
        context_.timeline->record(isClaim ? "takeover-claim" : "lapse-proven", fields);
        context_.counters->counter(isClaim ? "takeover_claims_total" : "lapses_proven_total")++;
        context_.store->write({ write.objectName, value, write.expectedVersion, write.entry.operationId },
            [this, isAlive = isAlive_, name = write.objectName, value](const WriteResult& result, TimePoint) {
                if (!*isAlive)
                    return;
                takeover_.writeEnded(name);
                if (result.outcome == WriteOutcome::Applied)
                    context_.onWritten(name, value, result.version);
            });
    }
    for (const WitnessPromiseRequest& request : actions.promiseRequests) {
        peer::PeerMessage message;
        message.promiseRequest = peer::PromiseRequest { toMessage(request.holder), toMessage(context_.self) };
        context_.send(request.witness, message);
    }
}

void OwnershipManager::removeLapsedEntries(TimePoint now)
{
    for (const auto& [name, node] : context_.view->nodes) {
        const InstanceId id = instanceId(node->entry);
        if (node->entry.state != stored::State::Lapsed)
            continue;
        const TimePoint since = lapsedSince_.emplace(id, now).first->second;
        const bool isDue = now - since >= lapsedEntryRetention && isCoordinator(node->entry.service);
        if (!isDue || !GrantReconciler::ownsNothing(*context_.view, id))
            continue;
        context_.store->remove(name, node->version);
        lapsedSince_[id] = now;
    }
    for (auto lapsed = lapsedSince_.begin(); lapsed != lapsedSince_.end();)
        lapsed = context_.view->node(lapsed->first) ? std::next(lapsed) : lapsedSince_.erase(lapsed);
}

void OwnershipManager::writeTables(TimePoint now, bool viewChanged)
{
    for (const std::string& service : services()) {
        const bool isIdle = !viewChanged && planner_.isConverged(service);
        if (isIdle || !isCoordinator(service))
            continue;
        for (const TableWrite& write : planner_.step(*context_.view, service, now)) {
            const std::string value = nlohmann::json(write.table).dump();
            context_.timeline->record(
                "partitions-planned", { { "table", write.objectName }, { "moves", write.moves } });
            context_.counters->counter("partition_moves_planned_total") += write.moves;
            context_.store->write({ write.objectName, value, write.expectedVersion, write.table.operationId },
                [this, isAlive = isAlive_, name = write.objectName, value](
                    const WriteResult& result, TimePoint) {
                    if (!*isAlive)
                        return;
                    planner_.writeEnded(name);
                    isPlanDue_ = true;
                    if (result.outcome == WriteOutcome::Applied)
                        context_.onWritten(name, value, result.version);
                });
        }
    }
}

void OwnershipManager::writeReleases()
{
    for (const ReleaseWrite& release : grants_.readyReleases(*context_.view)) {
        const std::string value = nlohmann::json(release.table).dump();
        context_.store->write(
            { release.objectName, value, release.expectedVersion, release.table.operationId },
            [this, isAlive = isAlive_, release, value](const WriteResult& result, TimePoint) {
                if (!*isAlive)
                    return;
                const bool tookEffect = result.outcome == WriteOutcome::Applied;
                grants_.releaseWriteEnded(release, tookEffect, result.outcome != WriteOutcome::Unknown);
                if (!tookEffect)
                    return;
                context_.counters->counter("partitions_handed_over_total")
                    += static_cast<int64_t>(release.partitions.size());
                context_.timeline->record("handed-over",
                    { { "table", release.objectName }, { "partitions", release.partitions.size() } });
                context_.onWritten(release.objectName, value, result.version);
            });
    }
}

void OwnershipManager::onSuspicion(const peer::Suspicion& suspicion, TimePoint now)
{
    const InstanceId holder = instanceId(suspicion.holder);
    takeover_.noteSuspicion(holder, instanceId(suspicion.witness), now);
    suspectedUntil_[holder] = now + suspicionLifetime;
}

void OwnershipManager::onPromise(const peer::Promise& promise, TimePoint now)
{
    std::optional<Duration> since;
    if (promise.sinceLastAckMs >= 0)
        since = Milliseconds(promise.sinceLastAckMs);
    takeover_.notePromise(instanceId(promise.holder), instanceId(promise.witness), since, now);
}

void OwnershipManager::reportSuspects(const std::vector<InstanceId>& suspects, TimePoint now)
{
    if (now < nextReport_)
        return;
    nextReport_ = now + reportInterval;
    for (const InstanceId& suspect : suspects) {
        const KnownNode* known = context_.view->node(suspect);
        if (!known || known->entry.state != stored::State::Joined)
            continue;
        suspectedUntil_[suspect] = now + suspicionLifetime;
        peer::PeerMessage message;
        message.suspicion = peer::Suspicion { toMessage(suspect), toMessage(context_.self) };
        for (const InstanceId& coordinator : coordinators(known->entry.service, coordinatorsNotified)) {
            if (coordinator == context_.self)
                takeover_.noteSuspicion(suspect, context_.self, now);
            else
                context_.send(coordinator, message);
        }
    }
}

bool OwnershipManager::ownsNothing() const
{
    return GrantReconciler::ownsNothing(*context_.view, context_.self);
}

}
