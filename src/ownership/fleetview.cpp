#include "ownership/fleetview.h"

#include "base/boundedjson.h"
#include "base/hashing.h"
#include "base/logger.h"
#include "config/configparser.h"
#include "config/configstore.h"

#include <absl/status/status.h>
#include <fmt/format.h>

namespace persimmonfield {
namespace {

    // Parses the object if its version changed; otherwise returns the known one. If parsing fails, the known
    // one stays in use.
    template <typename Known, typename Content>
    std::shared_ptr<const Known> parseIfChanged(
        const std::shared_ptr<const Known>& known, const peer::StoredObject& object, Content Known::*content)
    {
        if (known && known->version == object.version)
            return known;
        auto fresh = std::make_shared<Known>();
        fresh->version = object.version;
        try {
            (*fresh).*content = parseJson(object.value).value().get<Content>();
        } catch (const std::exception& error) {
            log(LogLevel::Error, "stored-object-unreadable",
                { { "name", object.name }, { "cause", error.what() } });
            return known;
        }
        return fresh;
    }

}

const stored::PartitionRow* FleetView::row(const std::string& service, int partition) const
{
    const auto groups = tables.find(service);
    if (groups == tables.end() || partition < 0)
        return nullptr;
    const auto group = static_cast<size_t>(partition / rowsPerTableObject);
    if (group >= groups->second.size())
        return nullptr;
    const auto& rows = groups->second[group]->table.rows;
    const auto index = static_cast<size_t>(partition % rowsPerTableObject);
    return index < rows.size() ? &rows[index] : nullptr;
}

const KnownNode* FleetView::node(const InstanceId& id) const
{
    const auto found = nodes.find(nodeObject(id));
    return found == nodes.end() ? nullptr : found->second.get();
}

bool FleetView::mayHoldLease(const InstanceId& id) const
{
    const KnownNode* known = node(id);
    return known && known->entry.state != stored::State::Lapsed;
}

int FleetView::partitionOf(const std::string& key, int partitions)
{
    return static_cast<int>(stableHash(key) % static_cast<uint64_t>(partitions));
}

int FleetView::partitionCount(const std::string& service) const
{
    if (service == teamHomeService)
        return teamHomePartitions;
    const auto found = configuration->services.find(service);
    return found == configuration->services.end() ? 0 : found->second.partitions;
}

std::string tableObject(const std::string& service, int firstPartition)
{
    return fmt::format("table/{}/{:08}", service, firstPartition);
}

std::shared_ptr<const FleetView> FleetViewBuilder::build(const StoreMirror& mirror)
{
    auto view = std::make_shared<FleetView>();
    readNodes(mirror, *view);
    readTables(mirror, *view);
    readConfiguration(mirror);
    view->configVersion = configVersion_;
    view->configuration = configuration_;
    return view;
}

void FleetViewBuilder::readNodes(const StoreMirror& mirror, FleetView& view)
{
    for (const std::string& name : mirror.names("nodes/")) {
        const auto node = parseIfChanged(nodes_[name], *mirror.find(name), &KnownNode::entry);
        if (node)
            view.nodes[name] = node;
    }
    nodes_ = view.nodes;
}

void FleetViewBuilder::readTables(const StoreMirror& mirror, FleetView& view)
{
    std::map<std::string, std::shared_ptr<const KnownTable>> read;
    for (const std::string& name : mirror.names("table/")) {
        const auto table = parseIfChanged(tables_[name], *mirror.find(name), &KnownTable::table);
        if (!table)
            continue;
        if (table->objectName.empty()) {
            auto named = std::make_shared<KnownTable>(*table);
            named->objectName = name;
            read[name] = named;
        } else {
            read[name] = table;
        }
        view.tables[table->table.service].push_back(read[name]);
    }
    tables_ = std::move(read);
}

void FleetViewBuilder::readConfiguration(const StoreMirror& mirror)
{
    const ObjectReader read = [&mirror](const std::string& name) -> absl::StatusOr<peer::StoredObject> {
        const peer::StoredObject* object = mirror.find(name);
        if (!object)
            return absl::NotFoundError(name);
        return *object;
    };
    const auto manifest = readCurrentManifest(read);
    if (!manifest.ok() || manifest->version <= configVersion_)
        return;
    const auto files = readConfigFiles(*manifest, read);
    if (!files.ok())
        return;
    ParsedConfiguration parsed = parseConfiguration(*files);
    if (!parsed.errors.empty()) {
        log(LogLevel::Error, "configuration-unreadable",
            { { "version", manifest->version }, { "cause", parsed.errors.front().text() } });
        return;
    }
    configVersion_ = manifest->version;
    configuration_ = std::make_shared<Configuration>(std::move(parsed.configuration));
}

}
