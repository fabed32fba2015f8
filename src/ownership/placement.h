#pragma once

#include "membership/instance.h"

#include <string>
#include <vector>

namespace persimmonfield {

// An instance that may own partitions of the service.
struct PlacementCandidate {
    InstanceId id;
    bool takesWork = true; // False when its availability zone is out or it departs.
};

// Where one partition stands.
struct PlacementRow {
    InstanceId owner; // Of no candidate when nobody living owns it.
    InstanceId target; // Where a hand-over under way moves it; empty when none is.
};

enum class MoveKind {
    Assign, // Nobody living owns the partition.
    HandOver, // The owner lives and gives the partition up first.
    Abandon, // A hand-over whose target is gone ends where it began.
};

struct PlacementMove {
    int partition = 0;
    MoveKind kind = MoveKind::Assign;
    InstanceId to;
};

// Bounded loads: moves only what must move, keeps every instance that takes work within one partition of the
// even share, and hands at most `balanceBudget` partitions over for balance alone. Pure.
std::vector<PlacementMove> planPlacement(const std::vector<PlacementCandidate>& candidates,
    const std::vector<PlacementRow>& rows, int balanceBudget);

}
