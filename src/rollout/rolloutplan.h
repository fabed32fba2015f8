#pragma once

#include "base/time.h"
#include "rollout/rolloutjudge.h"

#include <cstddef>
#include <optional>
#include <string>

namespace persimmonfield {

enum class RolloutState {
    Running, // Both versions serve.
    Closing, // The old version's servers get no new requests; those that they run are completed.
    Completed,
    RolledBack,
};

// How far a roll-out has got. States and stages only go forward.
struct RolloutPosition {
    RolloutState state = RolloutState::Running;
    int stage = 0;

    bool isOver() const { return state == RolloutState::Completed || state == RolloutState::RolledBack; }
    // Whether this position follows the other one. A completed roll-out follows one that was taken back:
    // only a store that has accepted the completion tells of it, and the old servers are gone then.
    bool isAfter(const RolloutPosition& other) const;
};

// The steps in which a roll-out moves requests to the new version, within its duration. At each step only as
// many of the new servers are used that each gets what a server gets in the end, so that a version which
// turns bad under load shows it early. Decides the next step; no I/O, no clock.
class RolloutPlan {
public:
    // `canaryShare` is the share of all requests that the new version may get before it is judged.
    RolloutPlan(Milliseconds duration, double canaryShare);

    // The share of the service's requests that the new version gets.
    double share(const RolloutPosition& position) const;

    // How many of the new servers get them.
    size_t serversInUse(const RolloutPosition& position, size_t newServers) const;

    struct Inputs {
        Duration elapsed { 0 }; // Since the order.
        Duration stageElapsed { 0 }; // Since the last change of the position.
        RolloutJudgement judgement;
        bool areOldServersIdle = false; // Nothing runs at them and nothing can reach them any more.
    };
    struct Step {
        RolloutPosition position;
        std::string cause;
    };
    // The step to take now; std::nullopt if there is none.
    std::optional<Step> nextStep(const RolloutPosition& position, const Inputs& inputs) const;

private:
    Duration duration_;
    double canaryShare_;
};

}
