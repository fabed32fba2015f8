#pragma once

#include "bench/report.h"

#include <string>

namespace persimmonfield::bench {

// Where the programs are.
struct Environment {
    std::string binaryDirectory;
};

// The router's own cost: through two daemons against going straight to the server.
void benchPath(const Environment& environment, Report& report);

// Losses, planned moves, zones out and back, and the cost of control, on the shapes of both deployments.
void benchOwnership(const Environment& environment, Report& report);

// Stragglers, wrongful refusals and the worst team.
void benchRequests(const Environment& environment, Report& report);

// From an accepted configuration to its being in force everywhere.
void benchConfig(const Environment& environment, Report& report);

// Slopes of the state and the decisions over the size of the fleet.
void benchCapacity(const Environment& environment, Report& report);

}
