#pragma once

#include "membership/instance.h"

#include <string>
#include <vector>

namespace persimmonfield {

// An instance that may own partitions of the service.
struct PlacementCandidate {
    InstanceId id;
    bool acceptsWork = true; // False if its availability zone is out of service or it is leaving the fleet.
};

// The current placement of one partition.
struct PlacementRow {
    InstanceId owner; // Not among the candidates if no live instance owns the partition.
    InstanceId target; // Target of the handover in progress; empty if there is none.
};

enum class MoveKind {
    Assign, // No live instance owns the partition.
    HandOver, // The owner is alive and has to release the partition first.
    CancelHandOver, // The owner keeps the partition, because the target of the handover cannot take it.
};

struct PlacementMove {
    int partition = 0;
    MoveKind kind = MoveKind::Assign;
    InstanceId to;
};

// Plans a placement with bounded loads. It makes only necessary moves, keeps every instance that accepts work
// within one partition of the even share, and hands over at most `balanceBudget` partitions for balance
// alone. A pure function.
std::vector<PlacementMove> planPlacement(const std::vector<PlacementCandidate>& candidates,
    const std::vector<PlacementRow>& rows, int balanceBudget);

}
