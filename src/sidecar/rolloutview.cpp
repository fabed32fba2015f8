#include "sidecar/rolloutview.h"

#include "base/hashing.h"
#include "base/logger.h"

#include <algorithm>
#include <vector>

namespace persimmonfield {
namespace {

    // A gate that has not heard of the instance that takes the steps for this part of the bound on roll-backs
    // admits nothing to a new version.
    constexpr int noticeLifetimeDivisor = 2;
    // Instances may send a part of a request in advance, all together at most this part of the slack.
    constexpr double advanceSlackShare = 0.5;
    constexpr uint64_t advanceSteps = 1'000;
    // In which an instance learns of an order that has a record.
    constexpr Milliseconds maxOrderDelay { 5'000 };

    std::string versionOf(const stored::InstanceEntry& entry)
    {
        return entry.server && entry.server->version ? *entry.server->version : std::string();
    }

    bool contains(const std::vector<std::string>& list, const std::string& value)
    {
        return std::find(list.begin(), list.end(), value) != list.end();
    }

    bool isReady(const stored::InstanceEntry& entry)
    {
        return entry.server && entry.server->readiness == stored::Readiness::Ready;
    }

}

RolloutState stateOf(const stored::RolloutRecord& record)
{
    switch (record.state) {
    case stored::RolloutState::Closing:
        return RolloutState::Closing;
    case stored::RolloutState::Completed:
        return RolloutState::Completed;
    case stored::RolloutState::RolledBack:
        return RolloutState::RolledBack;
    default:
        return RolloutState::Running;
    }
}

stored::RolloutState storedState(RolloutState state)
{
    switch (state) {
    case RolloutState::Closing:
        return stored::RolloutState::Closing;
    case RolloutState::Completed:
        return stored::RolloutState::Completed;
    case RolloutState::RolledBack:
        return stored::RolloutState::RolledBack;
    default:
        return stored::RolloutState::Running;
    }
}

const char* stateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Closing:
        return "closing";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled-back";
    default:
        return "running";
    }
}

RolloutView::RolloutView(RolloutViewOptions options)
    : options_(std::move(options))
{
}

void RolloutView::setOrder(const RolloutOrder& order, int64_t revision, TimePoint now)
{
    const auto known = orders_.find(order.service);
    if (known != orders_.end() && known->second.order.text() == order.text()) {
        known->second.revision = std::max(known->second.revision, revision);
        return;
    }
    removedOrders_.erase(order.service);
    orders_[order.service] = { order, revision, now };
    log(LogLevel::Info, "rollout-ordered",
        { { "service", order.service }, { "version", order.targetVersion },
            { "durationMs", order.duration.count() }, { "revision", revision },
            { "isChanged", known != orders_.end() } });
}

void RolloutView::removeOrder(const std::string& service)
{
    if (orders_.erase(service) == 0)
        return;
    removedOrders_.insert(service);
    log(LogLevel::Info, "rollout-order-removed", { { "service", service } });
}

// An order that this instance has never seen may be one that it has yet to learn of.
bool RolloutView::isWithdrawn(const std::string& service, TimePoint now) const
{
    const Rollout* known = rollout(service);
    if (!known || !areOrdersKnown_ || orders_.count(service) > 0)
        return false;
    return removedOrders_.count(service) > 0 || now >= known->knownSince + maxOrderDelay;
}

void RolloutView::setListed(const std::set<std::string>& services)
{
    areOrdersKnown_ = true;
    std::vector<std::string> gone;
    for (const auto& [service, order] : orders_) {
        if (services.count(service) == 0)
            gone.push_back(service);
    }
    for (const std::string& service : gone)
        removeOrder(service);
}

bool RolloutView::applyRecord(const stored::RolloutRecord& record, TimePoint now)
{
    const auto [entry, isNew] = rollouts_.try_emplace(record.service);
    Rollout& rollout = entry->second;
    const RolloutPosition position { stateOf(record), static_cast<int>(record.stage) };
    if (isNew || record.generation > rollout.record.generation) {
        rollout = {};
        rollout.record = record;
        rollout.knownSince = now;
        rollout.startedAt = now - Milliseconds(record.elapsedMs);
        const auto order = orders_.find(record.service);
        if (order != orders_.end() && order->second.order.text() == record.order)
            rollout.startedAt = std::min(rollout.startedAt, order->second.seenAt);
        moveTo(rollout, position, now);
        return true;
    }
    if (record.generation < rollout.record.generation)
        return false;
    rollout.startedAt = std::min(rollout.startedAt, now - Milliseconds(record.elapsedMs));
    const bool isAfter = position.isAfter(rollout.position);
    // A notice may tell less than the store: what has been written stays so.
    const bool isWritten = rollout.record.statusWritten && !isAfter;
    if (!rollout.position.isAfter(position)) {
        rollout.record = record;
        rollout.record.statusWritten = record.statusWritten || isWritten;
    }
    if (isAfter)
        moveTo(rollout, position, now);
    return isAfter;
}

void RolloutView::moveTo(Rollout& rollout, const RolloutPosition& position, TimePoint now)
{
    rollout.position = position;
    rollout.positionSince = now;
    rollout.isTargetGone = false;
    if (position.state == RolloutState::Closing)
        closeOldServers(rollout);
    if (position.state == RolloutState::RolledBack)
        rollout.closedServers.clear();
    updateBudget(rollout);
    log(LogLevel::Info, "rollout-position",
        { { "service", rollout.record.service }, { "version", rollout.record.targetVersion },
            { "generation", rollout.record.generation }, { "state", stateName(position.state) },
            { "stage", position.stage }, { "cause", rollout.record.cause } });
}

// Their successors of the same version, for example after a later release, are not closed.
void RolloutView::closeOldServers(Rollout& rollout) const
{
    for (const auto& [name, entry] : options_.directory->instances()) {
        if (entry.value.service == rollout.record.service && entry.value.server
            && versionOf(entry.value) != rollout.record.targetVersion)
            rollout.closedServers.insert({ name, entry.value.server->id });
    }
}

void RolloutView::updateBudget(const Rollout& rollout)
{
    const auto known = budgets_.find(rollout.record.service);
    if (known == budgets_.end()) {
        const auto instances
            = static_cast<double>(std::max<size_t>(1, options_.directory->instances().size()));
        const double most = std::min(1.0, options_.canarySlack * advanceSlackShare / instances);
        const double part = static_cast<double>(options_.random() % advanceSteps) / advanceSteps;
        budgets_.emplace(rollout.record.service, ExposureBudget(most * part));
    }
    const RolloutPlan plan(Milliseconds(rollout.record.durationMs), options_.canaryShare);
    budgets_.at(rollout.record.service).setShare(plan.share(rollout.position));
}

void RolloutView::recordNotice(const std::string& service, int64_t generation, TimePoint now)
{
    const auto found = rollouts_.find(service);
    if (found != rollouts_.end() && found->second.record.generation == generation)
        found->second.noticeAt = now;
}

bool RolloutView::onDirectoryChange(TimePoint now)
{
    bool hasChanged = false;
    for (const auto& [service, record] : options_.directory->rollouts()) {
        int64_t& applied = appliedRevisions_[service];
        if (applied == record.revision)
            continue;
        applied = record.revision;
        hasChanged = applyRecord(record.value, now) || hasChanged;
    }
    for (auto& [service, rollout] : rollouts_) {
        const bool isGone = rollout.position.state == RolloutState::RolledBack && !rollout.isTargetGone
            && !isUp(service, rollout.record.targetVersion);
        if (!isGone)
            continue;
        rollout.isTargetGone = true;
        hasChanged = true;
        log(LogLevel::Info, "rollout-target-gone",
            { { "service", service }, { "version", rollout.record.targetVersion } });
    }
    return hasChanged;
}

const RolloutView::Rollout* RolloutView::rollout(const std::string& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

bool RolloutView::isInForce(const std::string& service) const
{
    if (orders_.empty() && rollouts_.empty())
        return false;
    return orders_.count(service) > 0 || rollouts_.count(service) > 0;
}

bool RolloutView::takeExposure(const std::string& service)
{
    const Rollout* known = rollout(service);
    if (!known || known->position.isOver())
        return false;
    return known->position.state == RolloutState::Closing || budgets_.at(service).take();
}

void RolloutView::giveBackExposure(const std::string& service)
{
    const Rollout* known = rollout(service);
    if (known && known->position.state == RolloutState::Running)
        budgets_.at(service).giveBack();
}

void RolloutView::onServed(const std::string& service)
{
    const auto budget = budgets_.find(service);
    if (budget != budgets_.end())
        budget->second.onServed();
}

std::string RolloutView::targetVersion(const std::string& service) const
{
    const Rollout* known = rollout(service);
    return known ? known->record.targetVersion : std::string();
}

bool RolloutView::hasOtherVersion(const std::string& service, const std::string& version) const
{
    const auto& instances = options_.directory->instances();
    return std::any_of(instances.begin(), instances.end(), [&](const auto& each) {
        const stored::InstanceEntry& entry = each.second.value;
        return entry.service == service && isReady(entry) && versionOf(entry) != version;
    });
}

bool RolloutView::isUp(const std::string& service, const std::string& version) const
{
    const auto& instances = options_.directory->instances();
    return std::any_of(instances.begin(), instances.end(), [&](const auto& each) {
        const stored::InstanceEntry& entry = each.second.value;
        const bool isLeaving
            = entry.departing || (entry.server && entry.server->readiness == stored::Readiness::Draining);
        return entry.service == service && !isLeaving && versionOf(entry) == version;
    });
}

VersionUse RolloutView::useOf(const std::string& service, const std::string& version,
    const std::string& instance, const std::string& server) const
{
    if (!isInForce(service))
        return VersionUse::All;
    const Rollout* known = rollout(service);
    const auto order = orders_.find(service);
    const bool isOrdered = order != orders_.end() && order->second.order.targetVersion == version;
    const bool isBegun = known && isOrdered && known->record.order == order->second.order.text();
    // The order is there, but its first step is not. If it names the version in use, nothing is to be moved.
    if (isOrdered && !isBegun && hasOtherVersion(service, version))
        return VersionUse::None;
    if (!known)
        return VersionUse::All;
    const bool isTarget = known->record.targetVersion == version;
    if (!isTarget && contains(known->record.refusedVersions, version))
        return VersionUse::None;
    switch (known->position.state) {
    case RolloutState::Running:
        return isTarget ? VersionUse::Exposed : VersionUse::All;
    case RolloutState::Closing:
        return isTarget ? VersionUse::Exposed : VersionUse::None;
    case RolloutState::Completed:
        return known->closedServers.count({ instance, server }) > 0 ? VersionUse::None : VersionUse::All;
    default:
        return isTarget && !known->isTargetGone ? VersionUse::None : VersionUse::All;
    }
}

VersionUse RolloutView::useOf(const std::string& name, const stored::InstanceEntry& entry) const
{
    return useOf(entry.service, versionOf(entry), name, entry.server ? entry.server->id : std::string());
}

std::set<std::string> RolloutView::exposedInstances(
    const std::string& service, const std::set<std::string>& accepting) const
{
    const Rollout* known = rollout(service);
    if (!known)
        return {};
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (const auto& [name, entry] : options_.directory->instances()) {
        if (accepting.count(name) == 0 || versionOf(entry.value) != known->record.targetVersion)
            continue;
        ranked.emplace_back(stableHash(known->record.targetVersion + "/" + name), name);
    }
    std::sort(ranked.begin(), ranked.end());
    const RolloutPlan plan(Milliseconds(known->record.durationMs), options_.canaryShare);
    ranked.resize(plan.serversInUse(known->position, ranked.size()));
    std::set<std::string> names;
    for (const auto& [hash, name] : ranked)
        names.insert(name);
    return names;
}

std::optional<Reply> RolloutView::refusal(const peer::ForwardedRequest& request, const std::string& version,
    const std::string& server, TimePoint now) const
{
    if (!areOrdersKnown())
        return notRun(
            RefusalReason::ServerDraining, "it is not known whether the server's version may be used");
    if (!isInForce(request.service))
        return std::nullopt;
    const VersionUse use = useOf(request.service, version, options_.instance, server);
    if (use == VersionUse::All)
        return std::nullopt;
    if (use == VersionUse::None)
        return notRun(RefusalReason::ServerDraining, "the server's version is not in use");
    if (request.rolloutVersion != version)
        return notRun(RefusalReason::ServerDraining, "the request is not charged to the new version");
    const Rollout* known = rollout(request.service);
    if (!known->noticeAt || now > *known->noticeAt + options_.rollbackTime / noticeLifetimeDivisor)
        return notRun(RefusalReason::ServerDraining, "nothing is heard of the roll-out");
    return std::nullopt;
}

}
