#pragma once

#include "base/address.h"
#include "base/time.h"

#include <string>

namespace persimmonfield {

// The settings of one sidecar: its identity, addresses and time limits.
struct SidecarSettings {
    std::string name; // Name of this instance.
    std::string zone;
    std::string service; // Service of the server next to this instance.
    Address callerAddress;
    Address reportAddress; // Receives the server's reports.
    Address readinessAddress;
    Address peerAddress; // Other instances connect to it.
    Address serverAddress;
    Address storeAddress;
    Address metricsAddress; // Port 0 disables the metrics page.
    double cores = 0; // Processor cores that the process may use; 0 if unknown.
    double memoryMb = 1'024; // Memory that the process may use, in MB.
    int descriptors = 4'096; // Descriptors that the process may open.
    Milliseconds reportInterval { 1'000 };
    Milliseconds reportTimeout { 1'000 }; // After it the server considers an unanswered report lost.
    // How long a draining server may still be sent requests after its request to drain was acknowledged.
    Milliseconds drainTime { 2'000 };
    // How long servers of an evacuated zone may still be sent requests.
    Milliseconds evacuationTime { 5'000 };
    Milliseconds stopTime { 6'000 }; // Between the stop signal and the forced end of the process.
    // Factor by which the requests of one second may exceed the rate that a cold server tolerates.
    double coldOverload = 1;
    double retryRatio = 0.1; // Ratio of retries to requests, for the whole fleet.
    int retryReserve = 20; // Retries per window beyond that ratio, for the whole fleet.
    // Requests by which the fleet may exceed a team's burst, since many instances enforce its rate together.
    int rateSlack = 0;
    // The share of a service's requests that a new version may get before it is judged. Roll-outs are ordered
    // only where it is not 0.
    double canaryShare = 0;
    int canarySlack = 0; // Requests beyond that share, for the whole fleet.
    Milliseconds rollbackTime { 5'000 }; // In which a bad version must get no more requests.
};

}
