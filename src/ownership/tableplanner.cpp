#include "ownership/tableplanner.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // How long the instances that take work must stay the same before anything moves for balance, or is
    // assigned for the first time.
    constexpr Milliseconds settleTime { 1'000 };
    constexpr Milliseconds balanceInterval { 500 };
    // Hand-overs for balance that may be under way at once: this many, or this share of the partitions.
    constexpr int leastBalanceBudget = 16;
    constexpr int balanceShare = 64;

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
            candidate.takesWork = entry.state == stored::State::Joined && !entry.departing
                && (entry.serverUp || service == teamHomeService)
                && !view.configuration->isZoneOut(entry.zone);
            candidates.push_back(candidate);
        }
        return candidates;
    }

    // An owner whose entry has not reached this daemon yet may well hold its lease: only an entry that says
    // so proves a lapse.
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

    // Whether the move can be written now. An owner that is claimed and not yet proven lapsed cannot hand
    // over.
    bool isPossible(const FleetView& view, const PlacementRow& row, const PlacementMove& move, bool isSettled)
    {
        if (move.kind == MoveKind::Assign)
            return isSettled || !row.owner.name.empty();
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
        case MoveKind::Abandon:
            row.target.clear();
            row.targetIncarnation.clear();
            return;
        }
    }

}

bool TablePlanner::isSettled(
    const std::string& service, const std::vector<PlacementCandidate>& candidates, TimePoint now)
{
    std::vector<InstanceId> takers;
    for (const PlacementCandidate& candidate : candidates) {
        if (candidate.takesWork)
            takers.push_back(candidate.id);
    }
    Settling& settling = settling_[service];
    if (settling.takers != takers || settling.since == TimePoint()) {
        settling.takers = std::move(takers);
        settling.since = now;
    }
    return now - settling.since >= settleTime;
}

int TablePlanner::balanceBudget(
    const std::string& service, const std::vector<PlacementRow>& rows, TimePoint now)
{
    Settling& settling = settling_[service];
    if (now < settling.nextBalance)
        return 0;
    settling.nextBalance = now + balanceInterval;
    const auto underWay = std::count_if(
        rows.begin(), rows.end(), [](const PlacementRow& row) { return !row.target.name.empty(); });
    const int most = std::max(leastBalanceBudget, static_cast<int>(rows.size()) / balanceShare);
    return std::max(0, most - static_cast<int>(underWay));
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
    const bool settled = isSettled(service, candidates, now);
    const int budget = settled ? balanceBudget(service, rows, now) : 0;
    std::map<std::string, int> changes;
    const std::vector<PlacementMove> moves = planPlacement(candidates, rows, budget);
    settling_[service].isAtRest = budget > 0 && moves.empty();
    for (const PlacementMove& move : moves) {
        const PlacementRow& row = rows[static_cast<size_t>(move.partition)];
        KnownTable& table = tables[static_cast<size_t>(move.partition / rowsPerTableObject)];
        const bool isWriting = writing_.count(table.objectName) > 0;
        const bool isUnderWay = move.kind == MoveKind::HandOver && row.target == move.to;
        if (isWriting || isUnderWay || !isPossible(view, row, move, settled))
            continue;
        applyMove(table.table.rows[static_cast<size_t>(move.partition % rowsPerTableObject)], move);
        ++changes[table.objectName];
    }
    std::vector<TableWrite> writes;
    for (KnownTable& table : tables) {
        if (changes[table.objectName] == 0)
            continue;
        table.table.operationId = randomHex(16);
        writing_.insert(table.objectName);
        writes.push_back({ table.objectName, table.table, table.version, changes[table.objectName] });
    }
    return writes;
}

bool TablePlanner::isAtRest(const std::string& service) const
{
    const auto found = settling_.find(service);
    return found != settling_.end() && found->second.isAtRest;
}

void TablePlanner::writeEnded(const std::string& objectName)
{
    writing_.erase(objectName);
}

}
