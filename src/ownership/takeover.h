#pragma once

#include "membership/lapseproof.h"
#include "ownership/fleetview.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// A write of an instance's entry.
struct NodeWrite {
    std::string objectName;
    stored::NodeEntry entry;
    int64_t expectedVersion = 0;
};

// A request to one witness to promise that it will never confirm the holder's lease again.
struct WitnessPromiseRequest {
    InstanceId witness;
    InstanceId holder;
};

struct TakeoverActions {
    std::vector<NodeWrite> writes;
    std::vector<WitnessPromiseRequest> promiseRequests;
    std::vector<InstanceId> proven; // Instances whose lapse was proven in this step.
};

// Removes lost instances from the fleet. It claims the entry of an instance that its witnesses suspect, which
// fixes the witness set, collects the lapse proof, and writes the lapsed state. Two daemons may do this at
// the same time, because only one of their conditional writes takes effect. Does no I/O and reads no clock;
// not thread-safe.
class Takeover {
public:
    Takeover(InstanceId self, const LeaseTiming& timing);

    // Records that a witness has not heard from the holder for too long.
    void noteSuspicion(const InstanceId& holder, const InstanceId& witness, TimePoint now);

    // Records a witness's promise. `sinceConfirmed` is the time since it last confirmed the holder's lease;
    // not set if it never did.
    void notePromise(const InstanceId& holder, const InstanceId& witness,
        std::optional<Duration> sinceConfirmed, TimePoint now);

    // A write returned by this class has ended, with any outcome.
    void writeEnded(const std::string& objectName);

    // Returns the actions that are due. New claims are made only on entries for which `isMine` returns true.
    TakeoverActions step(
        const FleetView& view, const std::function<bool(const stored::NodeEntry&)>& isMine, TimePoint now);

private:
    struct Observation {
        int64_t version = 0;
        TimePoint since;
    };
    struct PendingProof {
        LapseProof proof;
        int64_t claimVersion = 0;
        TimePoint nextRequest;
    };

    bool isSuspected(const KnownNode& node, const FleetView& view, TimePoint now);
    bool isSilentInStore(const KnownNode& node, TimePoint now) const;
    bool isClaimStale(const KnownNode& node, const FleetView& view, TimePoint now) const;
    void observe(const std::string& objectName, const KnownNode& node, TimePoint now);
    void claim(const std::string& objectName, const KnownNode& node, TakeoverActions& actions);
    void advanceProof(const std::string& objectName, const KnownNode& node, const FleetView& view,
        TimePoint now, TakeoverActions& actions);

    InstanceId self_;
    LeaseTiming timing_;
    std::map<InstanceId, std::map<InstanceId, TimePoint>> suspicions_; // Keyed by holder, then by witness.
    std::map<std::string, Observation> observations_; // Keyed by object name, as are `proofs_`.
    std::map<std::string, PendingProof> proofs_;
    std::set<std::string> writesInFlight_; // Object names.
};

// Ranks the instances as coordinators of a service; the live instance with the lowest rank coordinates it.
uint64_t coordinatorRank(const std::string& service, const std::string& instanceName);

}
