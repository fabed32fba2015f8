#pragma once

#include "base/address.h"
#include "base/time.h"

#include <string>

namespace persimmonfield {

// What a sidecar has to know of its place.
struct SidecarSettings {
    std::string name; // Of this instance.
    std::string zone;
    std::string service; // Of the server beside it.
    Address callerAddress;
    Address reportAddress; // Where the server reports.
    Address readinessAddress;
    Address peerAddress; // Where other instances connect.
    Address serverAddress;
    Address storeAddress;
    Address metricsAddress; // Without a port where none is wanted.
    Milliseconds reportInterval { 1'000 };
    Milliseconds reportPatience { 1'000 }; // A server takes a report for lost that is not answered by then.
    // How long a leaving server may be given work after the acknowledgement.
    Milliseconds drainTime { 2'000 };
    // How long after a zone was taken out its servers may still be given work.
    Milliseconds evacuationTime { 5'000 };
    Milliseconds stopTime { 6'000 }; // Between the signal to stop and the end by force.
    double retryShare = 0.1; // Retries by requests, over the fleet.
    int retryReserve = 20; // Retries in a window beyond that share, over the fleet.
    // Requests by which the fleet may exceed a team's burst, as many instances keep its rate.
    int rateSlack = 0;
};

}
