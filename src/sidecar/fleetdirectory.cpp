#include "sidecar/fleetdirectory.h"

#include "base/address.h"
#include "base/logger.h"
#include "config/configuration.h"

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* instancePrefix = "instance.";
    constexpr const char* keyTablePrefix = "keys.";

    constexpr int64_t maxSlots = 1'000'000;

    // Throw if the value cannot be used although it can be parsed.
    void validate(const stored::InstanceEntry& entry)
    {
        if (!entry.peerAddress.empty()) {
            if (const auto address = parseAddress(entry.peerAddress); !address.ok())
                throw std::invalid_argument(std::string(address.status().message()));
        }
        if (entry.server && (entry.server->slots < 0 || entry.server->slots > maxSlots))
            throw std::invalid_argument(fmt::format("{} slots", entry.server->slots));
    }

    void validate(const stored::KeyTable& table)
    {
        for (const stored::KeyRange& range : table.ranges) {
            if (range.first < 0 || range.last < range.first || range.last > lastKeyNumber)
                throw std::invalid_argument(fmt::format("keys {} to {}", range.first, range.last));
        }
    }

    // Updates the map if the object is newer than the known one. Returns false when it cannot be parsed.
    template <typename Value>
    bool updateKnown(std::map<std::string, FleetDirectory::Versioned<Value>>& known, const std::string& name,
        const StoreObject& object, std::map<std::string, int64_t>& unreadable)
    {
        const auto found = known.find(name);
        if (found != known.end() && found->second.revision >= object.revision)
            return true;
        if (object.isDeleted) {
            known.erase(name);
            return true;
        }
        try {
            auto value = object.value.get<Value>();
            validate(value);
            known[name] = { std::move(value), object.revision };
            return true;
        } catch (const std::exception& error) {
            // The object may be listed again and again.
            if (std::exchange(unreadable[object.name], object.revision) != object.revision)
                log(LogLevel::Warning, "object-unreadable",
                    { { "kind", object.kind }, { "name", object.name }, { "cause", error.what() } });
            known.erase(name);
            return false;
        }
    }

}

std::string instanceObjectName(const std::string& instance)
{
    return instancePrefix + instance;
}

std::string keyTableObjectName(const std::string& service)
{
    return keyTablePrefix + service;
}

void FleetDirectory::apply(const StorePage& page, bool isFullListing)
{
    ++version_;
    if (isFullListing) {
        // Results of this instance's writes may be newer than the listing; they are kept.
        const auto isGone = [&page](const std::string& object, int64_t revision) {
            for (const StoreObject& each : page.objects) {
                if (each.name == object)
                    return false;
            }
            return revision <= page.revision;
        };
        for (auto entry = instances_.begin(); entry != instances_.end();)
            entry = isGone(instanceObjectName(entry->first), entry->second.revision) ? instances_.erase(entry)
                                                                                     : std::next(entry);
        for (auto table = tables_.begin(); table != tables_.end();)
            table = isGone(keyTableObjectName(table->first), table->second.revision) ? tables_.erase(table)
                                                                                     : std::next(table);
        for (auto object = unreadable_.begin(); object != unreadable_.end();)
            object = isGone(object->first, object->second) ? unreadable_.erase(object) : std::next(object);
        for (auto departure = departures_.begin(); departure != departures_.end();)
            departure = instance(departure->first) ? std::next(departure) : departures_.erase(departure);
        isLoaded_ = true;
    }
    for (const StoreObject& object : page.objects)
        applyObject(object);
}

void FleetDirectory::applyObject(const StoreObject& object)
{
    const std::string instances = instancePrefix;
    const std::string tables = keyTablePrefix;
    if (absl::StartsWith(object.name, instances)) {
        const std::string name = object.name.substr(instances.size());
        updateKnown(instances_, name, object, unreadable_);
        markDeparture(name);
    } else if (absl::StartsWith(object.name, tables)) {
        updateKnown(tables_, object.name.substr(tables.size()), object, unreadable_);
    }
}

bool FleetDirectory::recordDeparture(const std::string& name, const std::string& incarnation)
{
    departures_[name] = incarnation;
    if (!markDeparture(name))
        return false;
    ++version_;
    return true;
}

// Returns whether the entry has changed.
bool FleetDirectory::markDeparture(const std::string& name)
{
    const auto departure = departures_.find(name);
    const auto entry = instances_.find(name);
    if (departure == departures_.end() || entry == instances_.end())
        return false;
    stored::InstanceEntry& instance = entry->second.value;
    if (instance.departing || instance.incarnation != departure->second)
        return false;
    instance.departing = true;
    return true;
}

const stored::InstanceEntry* FleetDirectory::instance(const std::string& name) const
{
    const auto found = instances_.find(name);
    return found == instances_.end() ? nullptr : &found->second.value;
}

const FleetDirectory::Versioned<stored::KeyTable>* FleetDirectory::keyTable(const std::string& service) const
{
    const auto found = tables_.find(service);
    return found == tables_.end() ? nullptr : &found->second;
}

int64_t FleetDirectory::keyTableRevision(const std::string& service) const
{
    const auto* table = keyTable(service);
    return table ? table->revision : 0;
}

const std::vector<stored::KeyRange>& FleetDirectory::keyRanges(const std::string& service) const
{
    static const std::vector<stored::KeyRange> none;
    const auto* table = keyTable(service);
    return table ? table->value.ranges : none;
}

std::optional<peer::KeyOwner> FleetDirectory::otherOwner(
    const std::string& service, int key, const std::string& self) const
{
    const auto* table = keyTable(service);
    const stored::KeyRange* range = table ? findRange(table->value, key) : nullptr;
    if (!range || !isOwned(*range) || range->instance == self)
        return std::nullopt;
    peer::KeyOwner owner;
    owner.first = range->first;
    owner.last = range->last;
    owner.instance = range->instance;
    owner.server = range->server;
    owner.revision = table->revision;
    return owner;
}

std::vector<KeyMember> FleetDirectory::keyMembers(
    const std::string& service, const EvacuatedZones& zones) const
{
    std::vector<KeyMember> members;
    for (const auto& [name, entry] : instances_) {
        const stored::InstanceEntry& instance = entry.value;
        if (instance.service != service || !instance.server)
            continue;
        KeyMember member;
        member.instance = name;
        member.server = { instance.server->id, instance.server->startedMs };
        member.slots = static_cast<int>(instance.server->slots);
        member.isLeaving = instance.server->readiness != stored::Readiness::Ready || instance.departing
            || zones.isEvacuated(instance.zone);
        member.acceptsKeys = !member.isLeaving;
        members.push_back(std::move(member));
    }
    return members;
}

}
