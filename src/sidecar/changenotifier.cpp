#include "sidecar/changenotifier.h"

#include "sidecar/feedbody.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace persimmonfield {
namespace {

    // The first instance by name plans the key table; the second one takes over if the first has just left.
    // Both are told.
    constexpr int toldPlanners = 2;
    // If all instances tell this number of others, hardly any instance is missed.
    constexpr int changeFanout = 3;

}

ChangeNotifier::ChangeNotifier(std::string self, std::string service, const FleetDirectory& directory,
    PeerNetwork& network, std::function<uint64_t()> random)
    : self_(std::move(self))
    , service_(std::move(service))
    , directory_(directory)
    , network_(network)
    , random_(std::move(random))
{
}

void ChangeNotifier::tell(const std::string& instance, const std::string& kind, int64_t revision,
    const std::vector<StoreObject>& objects)
{
    const stored::InstanceEntry* entry = directory_.instance(instance);
    if (!entry || instance == self_)
        return;
    peer::PeerMessage message;
    message.storeChange = peer::StoreChange { kind, revision };
    if (const LinkId link = network_.linkTo(entry->peerAddress))
        network_.send(link, { message, objects.empty() ? std::string() : writeFeedBody(objects) });
}

void ChangeNotifier::gossip(const std::string& kind, int64_t revision)
{
    std::vector<std::string> others;
    for (const auto& [name, entry] : directory_.instances()) {
        if (name != self_ && !entry.value.departing)
            others.push_back(name);
    }
    for (int sent = 0; sent < changeFanout && !others.empty(); ++sent) {
        std::swap(others[random_() % others.size()], others.back());
        tell(others.back(), kind, revision);
        others.pop_back();
    }
}

void ChangeNotifier::tellPlanners()
{
    const auto own = directory_.instances().find(self_);
    if (own == directory_.instances().end())
        return;
    StoreObject object;
    object.kind = fleetKind;
    object.name = instanceObjectName(self_);
    object.revision = own->second.revision;
    object.value = own->second.value;
    int told = 0;
    for (const auto& [name, entry] : directory_.instances()) {
        if (entry.value.service != service_ || name == self_)
            continue;
        tell(name, fleetKind, object.revision, { object });
        if (++told == toldPlanners)
            return;
    }
}

void ChangeNotifier::tellService(const peer::PeerMessage& message)
{
    for (const auto& [name, entry] : directory_.instances()) {
        if (entry.value.service != service_ || name == self_)
            continue;
        if (const LinkId link = network_.linkTo(entry.value.peerAddress))
            network_.send(link, { message, {} });
    }
}

}
