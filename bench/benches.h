#pragma once

#include "bench/report.h"

#include <string>

namespace persimmonfield::bench {

// Location of the programs under test.
struct Environment {
    std::string binaryDirectory;
};

// Latency and throughput overhead of routing: requests through two daemons compared with requests sent
// directly to the servers.
void benchPath(const Environment& environment, Report& report);

// Instance losses, planned partition moves, evacuation and return of a zone, and resource use of idle
// daemons, on fleets of the sizes of the deployments cairnloch and kerbrat.
void benchOwnership(const Environment& environment, Report& report);

// Slow servers, wrongful rate refusals, success rate of a team beside a greedy one, and cold servers.
void benchRequests(const Environment& environment, Report& report);

// Time from the acceptance of a configuration until it is in force in every daemon.
void benchConfig(const Environment& environment, Report& report);

// Growth of memory use and of decision times with the size of the fleet.
void benchCapacity(const Environment& environment, Report& report);

}
