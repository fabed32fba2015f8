#include "ownership/placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace persimmonfield {
namespace {

    // Loads further apart than this are balanced; less is left alone, so that nothing moves to and fro.
    constexpr int tolerance = 1;

    class Planner {
    public:
        Planner(const std::vector<PlacementCandidate>& candidates, const std::vector<PlacementRow>& rows)
            : rows_(rows)
        {
            for (const PlacementCandidate& candidate : candidates) {
                living_.insert(candidate.id);
                if (candidate.takesWork)
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
                planNecessary(static_cast<int>(i), rows_[i]);
            planBalance(balanceBudget);
            return std::move(moves_);
        }

    private:
        using LoadEntry = std::pair<int, InstanceId>;

        bool isLiving(const InstanceId& id) const { return living_.count(id) > 0; }
        bool takesWork(const InstanceId& id) const { return loads_.count(id) > 0; }

        // Who owns the partition once what is under way has ended.
        InstanceId destinationOf(const PlacementRow& row) const
        {
            return isLiving(row.owner) && isLiving(row.target) ? row.target : row.owner;
        }

        void planNecessary(int partition, const PlacementRow& row)
        {
            const bool isOwned = isLiving(row.owner);
            const InstanceId destination = destinationOf(row);
            if (isOwned && takesWork(destination)) {
                if (!row.target.name.empty() && destination == row.owner)
                    moves_.push_back({ partition, MoveKind::Abandon, row.owner });
                return;
            }
            if (byLoad_.empty())
                return;
            const InstanceId to = byLoad_.begin()->second;
            changeLoad(to, 1);
            planned_.insert(partition);
            const MoveKind owned = to == row.owner ? MoveKind::Abandon : MoveKind::HandOver;
            moves_.push_back({ partition, isOwned ? owned : MoveKind::Assign, to });
        }

        void planBalance(int budget)
        {
            std::map<InstanceId, std::vector<int>> settled = settledPartitions();
            while (budget > 0 && !byLoad_.empty()) {
                const InstanceId least = byLoad_.begin()->second;
                const auto donor = heaviestWithSettled(settled);
                if (!donor || loads_[*donor] - loads_[least] <= tolerance)
                    return;
                const int partition = settled[*donor].back();
                settled[*donor].pop_back();
                changeLoad(*donor, -1);
                changeLoad(least, 1);
                moves_.push_back({ partition, MoveKind::HandOver, least });
                --budget;
            }
        }

        // Partitions that are not on the move, by owner.
        std::map<InstanceId, std::vector<int>> settledPartitions() const
        {
            std::map<InstanceId, std::vector<int>> settled;
            for (size_t i = 0; i < rows_.size(); ++i) {
                const bool isMoving
                    = !rows_[i].target.name.empty() || planned_.count(static_cast<int>(i)) > 0;
                if (!isMoving && takesWork(rows_[i].owner))
                    settled[rows_[i].owner].push_back(static_cast<int>(i));
            }
            return settled;
        }

        std::optional<InstanceId> heaviestWithSettled(
            const std::map<InstanceId, std::vector<int>>& settled) const
        {
            for (auto entry = byLoad_.rbegin(); entry != byLoad_.rend(); ++entry) {
                const auto found = settled.find(entry->second);
                if (found != settled.end() && !found->second.empty())
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
        std::set<InstanceId> living_;
        std::map<InstanceId, int> loads_; // Of those that take work.
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
