// How an Ingress chooses the server for a request.

#include "sidecar/ingress.h"

#include "sidecar/ingressrequest.h"

#include <map>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // The factor by which the cost of a server rises if it is in another availability zone. Such a server is
    // chosen only if it is less busy by this factor.
    constexpr double otherZoneCostFactor = 1.5;
    // Likewise for services whose servers tell what they take well.
    constexpr double otherZoneCostFactorOfLearned = 2.5;

}

void Ingress::forgetCandidates()
{
    candidates_.clear();
}

std::optional<Ingress::Target> Ingress::chooseTarget(PendingRequest& pending)
{
    if (pending.routed.partition >= 0)
        return ownerOf(pending);
    const std::string& service = pending.routed.service;
    const Candidates& candidates = candidatesOf(service);
    std::optional<InstanceId> chosen;
    if (options_.rollouts->isInForce(service))
        chosen = chooseExposed(pending, candidates);
    if (!chosen)
        chosen = choiceOf(service).choose(candidates.servers, pending.triedServers, BootClock::now());
    if (!chosen)
        return std::nullopt;
    return Target { *chosen, candidates.peerAddresses.at(chosen->name) };
}

// A server of the new version, if the request can be charged to its exposure.
std::optional<InstanceId> Ingress::chooseExposed(PendingRequest& pending, const Candidates& candidates)
{
    const std::string& service = pending.routed.service;
    pending.request.rolloutVersion.reset();
    const bool hasOthers = !candidates.servers.empty();
    if (candidates.exposedServers.empty() || (pending.hasMissedNewVersion && hasOthers)
        || !options_.rollouts->takeExposure(service))
        return std::nullopt;
    auto chosen = choiceOf(service).choose(candidates.exposedServers, pending.triedServers, BootClock::now());
    if (chosen)
        pending.request.rolloutVersion = options_.rollouts->targetVersion(service);
    else
        options_.rollouts->giveBackExposure(service);
    return chosen;
}

void Ingress::recordExposure(PendingRequest& pending, const Reply& reply) const
{
    const std::string& service = pending.routed.service;
    if (!options_.rollouts->isInForce(service))
        return;
    if (reply.isAnswer || hasReachedServer(reply))
        return options_.rollouts->onServed(service);
    if (!pending.request.rolloutVersion)
        return;
    options_.rollouts->giveBackExposure(service);
    pending.hasMissedNewVersion = true;
}

std::optional<Ingress::Target> Ingress::ownerOf(const PendingRequest& pending)
{
    const auto* table = options_.directory->keyTable(pending.routed.service);
    if (const auto* newer = reportedOwners_.find(pending.routed.service, pending.routed.partition))
        return targetOf(newer->instance, newer->server);
    const stored::KeyRange* range
        = table ? findRange(table->value, static_cast<int>(pending.routed.partition)) : nullptr;
    if (!range || !isOwned(*range))
        return std::nullopt;
    return targetOf(range->instance, range->server);
}

std::optional<Ingress::Target> Ingress::targetOf(const std::string& instance, const std::string& server) const
{
    const bool isLocal = instance == options_.settings.name;
    const stored::InstanceEntry* entry = isLocal ? nullptr : options_.directory->instance(instance);
    if (!isLocal && !entry)
        return std::nullopt;
    const std::string& zone = isLocal ? options_.settings.zone : entry->zone;
    if (options_.zones->allowedTraffic(zone, BootClock::now()) == ZoneTraffic::None)
        return std::nullopt;
    return Target { { instance, server }, isLocal ? std::string() : entry->peerAddress };
}

// The servers of the service that accept requests; rebuilt after a change of the fleet or the availability
// zones.
const Ingress::Candidates& Ingress::candidatesOf(const std::string& service)
{
    if (candidatesVersion_ != options_.directory->instancesVersion()) {
        candidates_.clear();
        candidatesVersion_ = options_.directory->instancesVersion();
    }
    const auto [entry, isNew] = candidates_.try_emplace(service);
    if (isNew)
        fillCandidates(entry->second, service);
    return entry->second;
}

void Ingress::fillCandidates(Candidates& candidates, const std::string& service)
{
    const double otherZoneFactor
        = learnsConcurrency(service) ? otherZoneCostFactorOfLearned : otherZoneCostFactor;
    std::map<std::string, InstanceId> exposed; // By instance.
    std::set<std::string> exposedNames;
    for (const auto& [name, entry] : options_.directory->instances()) {
        const stored::InstanceEntry& instance = entry.value;
        const bool acceptsWork = instance.service == service && instance.server && !instance.departing
            && instance.server->readiness == stored::Readiness::Ready
            && !options_.zones->isEvacuated(instance.zone);
        if (!acceptsWork)
            continue;
        const bool isLocal = name == options_.settings.name;
        const bool isSameZone = instance.zone == options_.settings.zone;
        choiceOf(service).setDistance({ name, instance.server->id }, isSameZone ? 1 : otherZoneFactor);
        const VersionUse use = options_.rollouts->useOf(name, instance);
        if (use == VersionUse::None)
            continue;
        if (use == VersionUse::All) {
            candidates.servers.push_back({ name, instance.server->id });
        } else {
            exposed[name] = { name, instance.server->id };
            exposedNames.insert(name);
        }
        candidates.peerAddresses[name] = isLocal ? std::string() : instance.peerAddress;
    }
    if (exposed.empty())
        return;
    for (const std::string& name : options_.rollouts->exposedInstances(service, exposedNames))
        candidates.exposedServers.push_back(exposed.at(name));
}

bool Ingress::learnsConcurrency(const std::string& service) const
{
    const auto found = configuration_->services.find(service);
    return found != configuration_->services.end() && found->second.learnsConcurrency;
}

}
