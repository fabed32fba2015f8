// Checks placement against a simple oracle: it makes no needless moves, keeps loads within the bounds, and
// never chooses an instance that accepts no work.

#include "ownership/placement.h"

#include <map>
#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr int unlimited = 1'000'000;

std::vector<PlacementCandidate> candidates(int count)
{
    std::vector<PlacementCandidate> result;
    for (int i = 0; i < count; ++i)
        result.push_back({ { "i" + std::to_string(i), "1" }, true });
    return result;
}

// Applies the moves as if every handover were complete.
void carryOut(std::vector<PlacementRow>& rows, const std::vector<PlacementMove>& moves)
{
    for (const PlacementMove& move : moves)
        rows[static_cast<size_t>(move.partition)] = { move.to, {} };
}

std::map<InstanceId, int> loadsOf(const std::vector<PlacementRow>& rows)
{
    std::map<InstanceId, int> loads;
    for (const PlacementRow& row : rows)
        ++loads[row.owner];
    return loads;
}

// Returns the minimum number of moves: partitions whose owner accepts no work, and those above the even
// share.
int leastMoves(const std::vector<PlacementCandidate>& all, const std::vector<PlacementRow>& rows)
{
    std::map<InstanceId, int> loads = loadsOf(rows);
    int eligible = 0;
    for (const PlacementCandidate& candidate : all)
        eligible += candidate.acceptsWork ? 1 : 0;
    const int most = (static_cast<int>(rows.size()) + eligible - 1) / eligible;
    int needed = static_cast<int>(rows.size());
    for (const PlacementCandidate& candidate : all)
        needed -= candidate.acceptsWork ? std::min(loads[candidate.id], most) : 0;
    return needed;
}

}

TEST_GROUP(Placement) {};

TEST(Placement, ReachesTheBoundsWithoutNeedlessMoves)
{
    const bool isTrue = rc::check("bounded loads, few moves", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const int count = 2 + static_cast<int>(random() % 10);
        std::vector<PlacementCandidate> all = candidates(count);
        std::vector<PlacementRow> rows(1 + random() % 200);
        carryOut(rows, planPlacement(all, rows, unlimited));
        for (int round = 0; round < 5; ++round) {
            PlacementCandidate& changed = all[random() % all.size()];
            changed.acceptsWork = !changed.acceptsWork;
            if (random() % 3 == 0)
                changed.id.incarnation += "x"; // Lost and rejoined: its partitions have no live owner.
            all[0].acceptsWork = true;
            const int needed = leastMoves(all, rows);
            const auto moves = planPlacement(all, rows, unlimited);
            RC_ASSERT(static_cast<int>(moves.size()) <= needed + count);
            carryOut(rows, moves);
            const auto loads = loadsOf(rows);
            int least = unlimited;
            int most = 0;
            for (const PlacementCandidate& candidate : all) {
                const auto load = loads.find(candidate.id);
                const int own = load == loads.end() ? 0 : load->second;
                if (!candidate.acceptsWork)
                    RC_ASSERT(own == 0);
                least = candidate.acceptsWork ? std::min(least, own) : least;
                most = std::max(most, own);
            }
            RC_ASSERT(most - least <= 1);
            RC_ASSERT(planPlacement(all, rows, unlimited).empty());
        }
    });
    CHECK(isTrue);
}

TEST(Placement, MovesForBalanceOnlyWithinTheBudget)
{
    std::vector<PlacementCandidate> all = candidates(1);
    std::vector<PlacementRow> rows(20);
    carryOut(rows, planPlacement(all, rows, 0));
    all = candidates(2);
    LONGS_EQUAL(3, planPlacement(all, rows, 3).size());
    LONGS_EQUAL(0, planPlacement(all, rows, 0).size());
}

TEST(Placement, MovesNothingWhenNoInstanceAcceptsWork)
{
    std::vector<PlacementCandidate> all = candidates(2);
    std::vector<PlacementRow> rows(4);
    carryOut(rows, planPlacement(all, rows, 0));
    for (PlacementCandidate& candidate : all)
        candidate.acceptsWork = false;
    LONGS_EQUAL(0, planPlacement(all, rows, unlimited).size());
}

TEST(Placement, CancelsAHandOverToALostTarget)
{
    const std::vector<PlacementCandidate> all = candidates(1);
    const std::vector<PlacementRow> rows { { { "i0", "1" }, { "lost", "1" } } };
    const auto moves = planPlacement(all, rows, 0);
    LONGS_EQUAL(1, moves.size());
    CHECK(moves[0].kind == MoveKind::CancelHandOver);
}
