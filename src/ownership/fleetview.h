#pragma once

#include "config/configuration.h"
#include "membership/instance.h"
#include "membership/storemirror.h"
#include "messages/generated/stored.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonfield {

// The service whose partitions are the homes of the teams' token buckets. Any instance may own some.
inline constexpr const char* teamHomeService = "team-homes";

// Partitions of the team homes.
inline constexpr int teamHomePartitions = 64;

// Rows kept in one object of the table, so that no object outgrows the platform's bound.
inline constexpr int rowsPerTableObject = 256;

// An instance's entry as last seen, with the version that a conditional write needs.
struct KnownNode {
    stored::NodeEntry entry;
    int64_t version = 0;
};

// One object of the table as last seen.
struct KnownTable {
    std::string objectName;
    stored::TableObject table;
    int64_t version = 0; // 0 when the object does not exist yet.
};

// What a daemon knows of the fleet at one moment: configuration, instances and owners. Never changes once
// made, so that threads may share it.
struct FleetView {
    int64_t configVersion = 0;
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    std::map<std::string, std::shared_ptr<const KnownNode>> nodes; // By object name.
    std::map<std::string, std::vector<std::shared_ptr<const KnownTable>>> tables; // By service; in order.

    // The row of a partition; nothing when it was never written.
    const stored::PartitionRow* row(const std::string& service, int partition) const;

    // The instance's entry; nothing when there is none.
    const KnownNode* node(const InstanceId& id) const;

    // Whether the instance holds or may still hold a lease.
    bool isLiving(const InstanceId& id) const;

    // The partition of a key of a service divided by key.
    static int partitionOf(const std::string& key, int partitions);

    // Partitions of a service, team homes included; 0 when it is unknown or not divided by key.
    int partitionCount(const std::string& service) const;
};

// The name of the object that holds the rows from `firstPartition` on.
std::string tableObject(const std::string& service, int firstPartition);

// Makes views from a mirror, reading again only the objects that changed.
class FleetViewBuilder {
public:
    // A configuration whose pieces are not all known yet leaves the earlier one in force.
    std::shared_ptr<const FleetView> build(const StoreMirror& mirror);

private:
    void readNodes(const StoreMirror& mirror, FleetView& view);
    void readTables(const StoreMirror& mirror, FleetView& view);
    void readConfiguration(const StoreMirror& mirror);

    std::map<std::string, std::shared_ptr<const KnownNode>> nodes_;
    std::map<std::string, std::shared_ptr<const KnownTable>> tables_;
    int64_t configVersion_ = 0;
    std::shared_ptr<const Configuration> configuration_ = std::make_shared<Configuration>();
};

}
