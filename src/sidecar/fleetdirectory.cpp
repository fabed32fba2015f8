#include "sidecar/fleetdirectory.h"

#include "base/address.h"
#include "base/logger.h"
#include "config/configuration.h"
#include "sidecar/protocoladapter.h"
#include "store/storerevision.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* instancePrefix = "instance.";
    constexpr const char* keyTablePrefix = "keys.";
    constexpr const char* rolloutPrefix = "rollout.";

    constexpr const char* eraInfix = ".era-";

    // The name of the service's table in an era.
    std::string tableName(const std::string& service, int64_t era)
    {
        return era == 0 ? service : fmt::format("{}{}{}", service, eraInfix, era);
    }

    std::string partName(const std::string& table, int part)
    {
        return fmt::format("{}.{}", table, part);
    }

    // The revision at which the value was written. A value that states an earlier era than the store's came
    // back with an older copy of the store, which numbers it as before.
    int64_t writtenAt(const stored::InstanceEntry& entry, int64_t revision)
    {
        const int64_t era = std::clamp<int64_t>(entry.era.value_or(0), 0, eraOf(revision));
        return revisionIn(era, storeNumberOf(revision));
    }

    int64_t writtenAt(const stored::KeyTable&, int64_t revision)
    {
        return revision;
    }

    int64_t writtenAt(const stored::RolloutRecord&, int64_t revision)
    {
        return revision;
    }

    // Whether the store holds an older copy of the value than the known one, because it was restored.
    template <typename Value> bool isOlderCopy(const Value&, const Value&)
    {
        return false;
    }

    int progressOf(stored::RolloutState state)
    {
        switch (state) {
        case stored::RolloutState::Running:
            return 0;
        case stored::RolloutState::Closing:
            return 1;
        case stored::RolloutState::Completed:
        case stored::RolloutState::RolledBack:
            return 2;
        }
        return 0;
    }

    // A roll-out never goes back.
    bool isOlderCopy(const stored::RolloutRecord& copy, const stored::RolloutRecord& known)
    {
        return std::tuple(copy.generation, progressOf(copy.state), copy.stage)
            < std::tuple(known.generation, progressOf(known.state), known.stage);
    }

    // Throw if the value cannot be used although it can be parsed.
    void validate(const stored::InstanceEntry& entry)
    {
        if (!entry.peerAddress.empty()) {
            if (const auto address = parseAddress(entry.peerAddress); !address.ok())
                throw std::invalid_argument(std::string(address.status().message()));
        }
        if (entry.server && (entry.server->slots < 0 || entry.server->slots > maxServerSlots))
            throw std::invalid_argument(fmt::format("{} slots", entry.server->slots));
    }

    void validate(const stored::RolloutRecord& record)
    {
        if (record.durationMs <= 0 || record.generation <= 0)
            throw std::invalid_argument(
                fmt::format("roll-out {} of {} ms", record.generation, record.durationMs));
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
        if (found != known.end() && found->second.storeRevision >= object.revision)
            return true;
        if (object.isDeleted) {
            known.erase(name);
            return true;
        }
        try {
            auto value = object.value.get<Value>();
            validate(value);
            const int64_t revision = writtenAt(value, object.revision);
            if (found != known.end() && isOlderCopy(value, found->second.value)) {
                found->second.revision = revision;
                found->second.storeRevision = object.revision;
                return true;
            }
            if (found == known.end() || found->second.revision <= revision) {
                known[name] = { std::move(value), revision, object.revision };
                return true;
            }
            found->second.storeRevision = object.revision;
            found->second.isStored = false;
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

std::string keyTableObjectName(const std::string& service, int64_t era)
{
    return keyTablePrefix + tableName(service, era);
}

std::string keyTablePartObjectName(const std::string& service, int part, int64_t era)
{
    return keyTablePrefix + partName(tableName(service, era), part);
}

std::string rolloutObjectName(const std::string& service)
{
    return rolloutPrefix + service;
}

void FleetDirectory::apply(const StorePage& page, bool isFullListing)
{
    if (isFullListing) {
        ++instancesVersion_;
        // Results of this instance's writes may be newer than the listing; they are kept.
        std::unordered_set<std::string_view> listed;
        for (const StoreObject& object : page.objects)
            listed.insert(object.name);
        const auto isGone = [&page, &listed](const std::string& object, int64_t revision) {
            return listed.count(object) == 0 && revision <= page.revision;
        };
        for (auto entry = instances_.begin(); entry != instances_.end();) {
            auto& known = entry->second;
            const bool isMissing = isGone(instanceObjectName(entry->first), known.storeRevision);
            const bool wasLost = isMissing && eraOf(known.revision) != eraOf(page.revision);
            if (wasLost) {
                known.storeRevision = 0;
                known.isStored = false;
            }
            entry = isMissing && !wasLost ? instances_.erase(entry) : std::next(entry);
        }
        for (auto table = tables_.begin(); table != tables_.end();)
            table = isGone(keyTableObjectName(table->first), table->second.revision) ? tables_.erase(table)
                                                                                     : std::next(table);
        for (auto record = rollouts_.begin(); record != rollouts_.end();)
            record = isGone(rolloutObjectName(record->first), record->second.revision)
                ? rollouts_.erase(record)
                : std::next(record);
        assembledTables_.clear();
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
        ++instancesVersion_;
        markDeparture(name);
    } else if (absl::StartsWith(object.name, tables)) {
        updateKnown(tables_, object.name.substr(tables.size()), object, unreadable_);
        assembledTables_.clear();
    } else if (absl::StartsWith(object.name, rolloutPrefix)) {
        updateKnown(rollouts_, object.name.substr(std::string(rolloutPrefix).size()), object, unreadable_);
    }
}

bool FleetDirectory::recordDeparture(const std::string& name, const std::string& incarnation)
{
    departures_[name] = incarnation;
    return markDeparture(name);
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
    ++instancesVersion_;
    return true;
}

const stored::InstanceEntry* FleetDirectory::instance(const std::string& name) const
{
    const auto found = instances_.find(name);
    return found == instances_.end() ? nullptr : &found->second.value;
}

const stored::InstanceEntry* FleetDirectory::instanceOfObject(const std::string& objectName) const
{
    absl::string_view name = objectName;
    return absl::ConsumePrefix(&name, instancePrefix) ? instance(std::string(name)) : nullptr;
}

void FleetDirectory::setEra(int64_t era)
{
    std::set<std::string> services;
    for (const auto& [name, table] : tables_)
        services.insert(table.value.service);
    for (const std::string& service : services) {
        if (const AssembledTable* table = assembledTable(service))
            formerTables_[service] = *table;
    }
    assembledTables_.clear();
    era_ = era;
}

bool FleetDirectory::isKeyTableStored(const std::string& service) const
{
    return tables_.count(tableName(service, era_)) > 0;
}

bool FleetDirectory::hasEarlierEntries() const
{
    return std::any_of(instances_.begin(), instances_.end(),
        [this](const auto& entry) { return eraOf(entry.second.revision) < era_; });
}

bool FleetDirectory::hasEarlierKeyTable(const std::string& service) const
{
    return era_ > 0 && (formerTables_.count(service) > 0 || tableOfEarlierEra(service));
}

// The table as the copy has it that the store was restored from.
std::optional<FleetDirectory::AssembledTable> FleetDirectory::tableOfEarlierEra(
    const std::string& service) const
{
    int64_t newest = -1;
    for (auto table = tables_.lower_bound(service); table != tables_.end(); ++table) {
        absl::string_view name = table->first;
        if (!absl::ConsumePrefix(&name, service))
            break;
        int64_t era = 0;
        const bool isFirst
            = name.empty() || (absl::ConsumePrefix(&name, eraInfix) && absl::SimpleAtoi(name, &era));
        if (isFirst && era < era_)
            newest = std::max(newest, era);
    }
    if (newest < 0)
        return std::nullopt;
    const std::string base = tableName(service, newest);
    return assembleTable(service, base, tables_.at(base));
}

const FleetDirectory::AssembledTable* FleetDirectory::assembledTable(const std::string& service) const
{
    const std::string base = tableName(service, era_);
    const auto first = tables_.find(base);
    if (first == tables_.end() && era_ == 0)
        return nullptr;
    const auto [assembled, isNew] = assembledTables_.try_emplace(service);
    if (!isNew)
        return &assembled->second;
    if (first != tables_.end()) {
        assembled->second = assembleTable(service, base, first->second);
        return &assembled->second;
    }
    const auto former = formerTables_.find(service);
    auto table = former == formerTables_.end() ? tableOfEarlierEra(service) : std::optional(former->second);
    if (!table) {
        assembledTables_.erase(assembled);
        return nullptr;
    }
    assembled->second = *std::move(table);
    assembled->second.whole.value.era = era_;
    assembled->second.storedParts.assign(assembled->second.partRevisions.size(), false);
    return &assembled->second;
}

FleetDirectory::AssembledTable FleetDirectory::assembleTable(
    const std::string& service, const std::string& base, const Versioned<stored::KeyTable>& first) const
{
    const int parts = partCount(first.value);
    if (parts == 1)
        return { first, { first.revision }, { true } };
    AssembledTable result;
    const auto found = formerTables_.find(service);
    const AssembledTable* former = found == formerTables_.end() ? nullptr : &found->second;
    if (former && partCount(former->whole.value) != parts)
        former = nullptr;
    result.whole.value.era = first.value.era;
    result.whole.revision = first.revision;
    result.whole.value.service = service;
    result.whole.value.parts = parts;
    const stored::KeyTable empty = result.whole.value;
    for (int part = 0; part < parts; ++part) {
        const auto known = tables_.find(partName(base, part));
        const bool isFormer = known == tables_.end() && former;
        const int64_t formerRevision = isFormer ? former->partRevisions.at(static_cast<size_t>(part)) : 0;
        result.partRevisions.push_back(known == tables_.end() ? formerRevision : known->second.revision);
        result.storedParts.push_back(known != tables_.end());
        result.whole.revision = std::max(result.whole.revision, result.partRevisions.back());
        auto& ranges = result.whole.value.ranges;
        if (isFormer) {
            for (stored::KeyRange& range : rangesOfPart(former->whole.value, part))
                ranges.push_back(std::move(range));
            continue;
        }
        if (known == tables_.end()) {
            ranges.push_back(emptyPart(empty, part));
            continue;
        }
        for (const stored::KeyRange& range : known->second.value.ranges) {
            if (partOf(empty, range.first) == part && partOf(empty, range.last) == part)
                ranges.push_back(range);
        }
    }
    return result;
}

const FleetDirectory::Versioned<stored::KeyTable>* FleetDirectory::keyTable(const std::string& service) const
{
    const AssembledTable* table = assembledTable(service);
    return table ? &table->whole : nullptr;
}

int64_t FleetDirectory::keyPartRevision(const std::string& service, int part) const
{
    const AssembledTable* table = assembledTable(service);
    const auto index = static_cast<size_t>(part);
    return table && table->storedParts.at(index) ? table->partRevisions.at(index) : 0;
}

int64_t FleetDirectory::keyTableRevision(const std::string& service, int64_t key) const
{
    const AssembledTable* table = assembledTable(service);
    return table ? table->partRevisions.at(static_cast<size_t>(partOf(table->whole.value, key))) : 0;
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
    owner.revision = keyTableRevision(service, key);
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
