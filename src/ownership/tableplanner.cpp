#include "ownership/tableplanner.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // How long the set of instances that accept work must be unchanged before partitions move for balance or
    // are assigned for the first time.
    constexpr Milliseconds stabilizationTime { 1'000 };
    constexpr Milliseconds balanceInterval { 500 };
    // Handovers for balance may bring the number of handovers in progress up to the larger of this minimum
    // and the number of partitions divided by the divisor.
    constexpr int minBalanceBudget = 16;
    constexpr int balanceBudgetDivisor = 64;

    std::vector<PlacementCandidate> candidatesOf(const FleetView& view, const std::string& service)
    {
        std::vector<PlacementCandidate> candidates;
        for (const auto& [name, node] : view.nodes) {
            const stored::NodeEntry& entry = node->entry;
            const bool serves = service == teamHomeService || entry.service == service;
            if (!serves || entry.state == stored::State::Lapsed)
                continue;
            PlacementCandidate candidate;
            candidate.id = instanceId(entry);
            candidate.acceptsWork = entry.state == stored::State::Joined && !entry.departing
                && (entry.serverUp || service == teamHomeService)
                && !view.configuration->isZoneEvacuated(entry.zone);
            candidates.push_back(candidate);
        }
        return candidates;
    }

    // Adds owners without an entry in the view as candidates that accept no work. Such an owner may still
    // hold its lease, because its entry may not have reached this daemon yet. Only an entry marked as lapsed
    // proves that the lease has lapsed.
    void addUnknownOwners(const FleetView& view, const std::vector<PlacementRow>& rows,
        std::vector<PlacementCandidate>& candidates)
    {
        std::set<InstanceId> added;
        for (const PlacementRow& row : rows) {
            const bool isUnknown = !row.owner.name.empty() && !view.node(row.owner);
            if (isUnknown && added.insert(row.owner).second)
                candidates.push_back({ row.owner, false });
        }
    }

    KnownTable emptyTable(const std::string& service, int first, int partitions)
    {
        KnownTable table;
        table.objectName = tableObject(service, first);
        table.table.service = service;
        table.table.firstPartition = first;
        table.table.rows.resize(static_cast<size_t>(std::min(rowsPerTableObject, partitions - first)));
        return table;
    }

    std::vector<KnownTable> tablesOf(const FleetView& view, const std::string& service, int partitions)
    {
        std::vector<KnownTable> tables;
        const auto known = view.tables.find(service);
        for (int first = 0; first < partitions; first += rowsPerTableObject) {
            const auto index = static_cast<size_t>(first / rowsPerTableObject);
            const bool isKnown = known != view.tables.end() && index < known->second.size();
            tables.push_back(isKnown ? *known->second[index] : emptyTable(service, first, partitions));
        }
        return tables;
    }

    std::vector<PlacementRow> rowsOf(const std::vector<KnownTable>& tables)
    {
        std::vector<PlacementRow> rows;
        for (const KnownTable& table : tables) {
            for (const stored::PartitionRow& row : table.table.rows)
                rows.push_back({ { row.owner, row.incarnation }, { row.target, row.targetIncarnation } });
        }
        return rows;
    }

    // Whether the move can be written now. An owner that is claimed for takeover but not yet proven lapsed
    // cannot hand over a partition.
    bool isPossible(const FleetView& view, const PlacementRow& row, const PlacementMove& move, bool isStable)
    {
        if (move.kind == MoveKind::Assign)
            return isStable || !row.owner.name.empty();
        const KnownNode* owner = view.node(row.owner);
        return owner && owner->entry.state == stored::State::Joined;
    }

    void applyMove(stored::PartitionRow& row, const PlacementMove& move)
    {
        switch (move.kind) {
        case MoveKind::Assign:
            row.owner = move.to.name;
            row.incarnation = move.to.incarnation;
            ++row.fence;
            row.target.clear();
            row.targetIncarnation.clear();
            return;
        case MoveKind::HandOver:
            row.target = move.to.name;
            row.targetIncarnation = move.to.incarnation;
            return;
        case MoveKind::CancelHandOver:
            row.target.clear();
            row.targetIncarnation.clear();
            return;
        }
    }

}

bool TablePlanner::isStable(
    const std::string& service, const std::vector<PlacementCandidate>& candidates, TimePoint now)
{
    std::vector<InstanceId> eligibleInstances;
    for (const PlacementCandidate& candidate : candidates) {
        if (candidate.acceptsWork)
            eligibleInstances.push_back(candidate.id);
    }
    ServiceState& state = states_[service];
    if (state.eligibleInstances != eligibleInstances || state.since == TimePoint()) {
        state.eligibleInstances = std::move(eligibleInstances);
        state.since = now;
    }
    return now - state.since >= stabilizationTime;
}

int TablePlanner::balanceBudget(
    const std::string& service, const std::vector<PlacementRow>& rows, TimePoint now)
{
    ServiceState& state = states_[service];
    if (now < state.nextBalance)
        return 0;
    state.nextBalance = now + balanceInterval;
    const auto inProgress = std::count_if(
        rows.begin(), rows.end(), [](const PlacementRow& row) { return !row.target.name.empty(); });
    const int limit = std::max(minBalanceBudget, static_cast<int>(rows.size()) / balanceBudgetDivisor);
    return std::max(0, limit - static_cast<int>(inProgress));
}

std::vector<TableWrite> TablePlanner::step(const FleetView& view, const std::string& service, TimePoint now)
{
    const int partitions = view.partitionCount(service);
    if (partitions == 0)
        return {};
    std::vector<PlacementCandidate> candidates = candidatesOf(view, service);
    std::vector<KnownTable> tables = tablesOf(view, service, partitions);
    const std::vector<PlacementRow> rows = rowsOf(tables);
    addUnknownOwners(view, rows, candidates);
    const bool stable = isStable(service, candidates, now);
    const int budget = stable ? balanceBudget(service, rows, now) : 0;
    std::map<std::string, int> changes;
    const std::vector<PlacementMove> moves = planPlacement(candidates, rows, budget);
    states_[service].isConverged = budget > 0 && moves.empty();
    for (const PlacementMove& move : moves) {
        const PlacementRow& row = rows[static_cast<size_t>(move.partition)];
        KnownTable& table = tables[static_cast<size_t>(move.partition / rowsPerTableObject)];
        const bool isWriteInFlight = writesInFlight_.count(table.objectName) > 0;
        const bool isInProgress = move.kind == MoveKind::HandOver && row.target == move.to;
        if (isWriteInFlight || isInProgress || !isPossible(view, row, move, stable))
            continue;
        applyMove(table.table.rows[static_cast<size_t>(move.partition % rowsPerTableObject)], move);
        ++changes[table.objectName];
    }
    std::vector<TableWrite> writes;
    for (KnownTable& table : tables) {
        if (changes[table.objectName] == 0)
            continue;
        table.table.operationId = randomHex(16);
        writesInFlight_.insert(table.objectName);
        writes.push_back({ table.objectName, table.table, table.version, changes[table.objectName] });
    }
    return writes;
}

bool TablePlanner::isConverged(const std::string& service) const
{
    const auto found = states_.find(service);
    return found != states_.end() && found->second.isConverged;
}

void TablePlanner::writeEnded(const std::string& objectName)
{
    writesInFlight_.erase(objectName);
}

}
