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

// The internal service whose partitions hold the token buckets of the teams. Any instance may own some of
// them.
inline constexpr const char* teamHomeService = "team-homes";

// Number of partitions of the team home service.
inline constexpr int teamHomePartitions = 64;

// Rows per table object, chosen so that no object exceeds the platform's size limit.
inline constexpr int rowsPerTableObject = 256;

// The last known entry of an instance, with the version that a conditional write expects.
struct KnownNode {
    stored::NodeEntry entry;
    int64_t version = 0;
};

// The last known content of one table object.
struct KnownTable {
    std::string objectName;
    stored::TableObject table;
    int64_t version = 0; // 0 if the object does not exist yet.
};

// A snapshot of what a daemon knows about the fleet: configuration, instances and partition owners. It is
// immutable, so threads may share it.
struct FleetView {
    int64_t configVersion = 0;
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    std::map<std::string, std::shared_ptr<const KnownNode>> nodes; // Keyed by object name.
    // Keyed by service; ordered by first partition.
    std::map<std::string, std::vector<std::shared_ptr<const KnownTable>>> tables;

    // Returns the row of a partition, or nullptr if it was never written.
    const stored::PartitionRow* row(const std::string& service, int partition) const;

    // Returns the instance's entry, or nullptr if there is none.
    const KnownNode* node(const InstanceId& id) const;

    // Whether the instance holds a lease or may still hold one.
    bool mayHoldLease(const InstanceId& id) const;

    // Maps a key of a sharded service to its partition.
    static int partitionOf(const std::string& key, int partitions);

    // Number of partitions of a service, including the team home service; 0 if the service is unknown or not
    // sharded by key.
    int partitionCount(const std::string& service) const;
};

// The name of the table object whose first row is that of `firstPartition`.
std::string tableObject(const std::string& service, int firstPartition);

// Builds views from a mirror and parses only the objects that changed since the previous view.
class FleetViewBuilder {
public:
    // If parts of a new configuration are still missing, the previous configuration stays in force.
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
