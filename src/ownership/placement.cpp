#include "ownership/placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace persimmonfield {
namespace {

    // Load differences up to this are left alone, so that partitions do not move back and forth.
    constexpr int toleratedDifference = 1;

    class Planner {
    public:
        Planner(const std::vector<PlacementCandidate>& candidates, const std::vector<PlacementRow>& rows)
            : rows_(rows)
        {
            for (const PlacementCandidate& candidate : candidates) {
                alive_.insert(candidate.id);
                if (candidate.acceptsWork)
                    loads_[candidate.id] = 0;
            }
            for (const PlacementRow& row : rows) {
                const auto load = loads_.find(destinationOf(row));
                if (load != loads_.end())
                    ++load->second;
            }
            for (const auto& [id, load] : loads_)
                byLoad_.insert({ load, id });
        }

        std::vector<PlacementMove> plan(int balanceBudget)
        {
            for (size_t i = 0; i < rows_.size(); ++i)
                planRequiredMove(static_cast<int>(i), rows_[i]);
            planBalance(balanceBudget);
            return std::move(moves_);
        }

    private:
        using LoadEntry = std::pair<int, InstanceId>;

        bool isAlive(const InstanceId& id) const { return alive_.count(id) > 0; }
        bool acceptsWork(const InstanceId& id) const { return loads_.count(id) > 0; }

        // Who owns the partition once its handover in progress, if any, has ended.
        InstanceId destinationOf(const PlacementRow& row) const
        {
            return isAlive(row.owner) && isAlive(row.target) ? row.target : row.owner;
        }

        void planRequiredMove(int partition, const PlacementRow& row)
        {
            const bool isOwned = isAlive(row.owner);
            const InstanceId destination = destinationOf(row);
            if (isOwned && acceptsWork(destination)) {
                if (!row.target.name.empty() && destination == row.owner)
                    moves_.push_back({ partition, MoveKind::CancelHandOver, row.owner });
                return;
            }
            if (byLoad_.empty())
                return;
            const InstanceId to = byLoad_.begin()->second;
            changeLoad(to, 1);
            planned_.insert(partition);
            const MoveKind moveOfOwned = to == row.owner ? MoveKind::CancelHandOver : MoveKind::HandOver;
            moves_.push_back({ partition, isOwned ? moveOfOwned : MoveKind::Assign, to });
        }

        void planBalance(int budget)
        {
            std::map<InstanceId, std::vector<int>> stationary = stationaryPartitions();
            while (budget > 0 && !byLoad_.empty()) {
                const InstanceId leastLoaded = byLoad_.begin()->second;
                const auto source = mostLoadedWithStationary(stationary);
                if (!source || loads_[*source] - loads_[leastLoaded] <= toleratedDifference)
                    return;
                const int partition = stationary[*source].back();
                stationary[*source].pop_back();
                changeLoad(*source, -1);
                changeLoad(leastLoaded, 1);
                moves_.push_back({ partition, MoveKind::HandOver, leastLoaded });
                --budget;
            }
        }

        // Returns the partitions that are not being moved, keyed by owner.
        std::map<InstanceId, std::vector<int>> stationaryPartitions() const
        {
            std::map<InstanceId, std::vector<int>> stationary;
            for (size_t i = 0; i < rows_.size(); ++i) {
                const bool isMoving
                    = !rows_[i].target.name.empty() || planned_.count(static_cast<int>(i)) > 0;
                if (!isMoving && acceptsWork(rows_[i].owner))
                    stationary[rows_[i].owner].push_back(static_cast<int>(i));
            }
            return stationary;
        }

        std::optional<InstanceId> mostLoadedWithStationary(
            const std::map<InstanceId, std::vector<int>>& stationary) const
        {
            for (auto entry = byLoad_.rbegin(); entry != byLoad_.rend(); ++entry) {
                const auto found = stationary.find(entry->second);
                if (found != stationary.end() && !found->second.empty())
                    return entry->second;
            }
            return std::nullopt;
        }

        void changeLoad(const InstanceId& id, int by)
        {
            int& load = loads_[id];
            byLoad_.erase({ load, id });
            load += by;
            byLoad_.insert({ load, id });
        }

        const std::vector<PlacementRow>& rows_;
        std::set<InstanceId> alive_;
        std::map<InstanceId, int> loads_; // Only instances that accept work.
        std::set<LoadEntry> byLoad_;
        std::set<int> planned_;
        std::vector<PlacementMove> moves_;
    };

}

std::vector<PlacementMove> planPlacement(const std::vector<PlacementCandidate>& candidates,
    const std::vector<PlacementRow>& rows, int balanceBudget)
{
    return Planner(candidates, rows).plan(balanceBudget);
}

}
