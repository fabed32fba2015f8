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

// Asks one witness to promise never to confirm the holder again.
struct PromiseAsk {
    InstanceId witness;
    InstanceId holder;
};

struct TakeoverActions {
    std::vector<NodeWrite> writes;
    std::vector<PromiseAsk> asks;
    std::vector<InstanceId> proven; // Lapses proven in this step.
};

// Takes lost instances out of the fleet: claims the entry of one that its witnesses suspect, which freezes
// its witness set, gathers the lapse proof, and writes the lapse down. Two daemons doing it at once are
// harmless: the conditional writes decide. Pure; not thread-safe.
class Takeover {
public:
    Takeover(InstanceId self, const LeaseTiming& timing);

    // A witness has not heard of the holder for too long.
    void suspected(const InstanceId& holder, const InstanceId& witness, TimePoint now);

    void promised(const InstanceId& holder, const InstanceId& witness, std::optional<Duration> sinceConfirmed,
        TimePoint now);

    // A write of this class ended, whatever came of it.
    void writeEnded(const std::string& objectName);

    // What to do now about the instances that `isMine` leaves to this daemon.
    TakeoverActions step(
        const FleetView& view, const std::function<bool(const stored::NodeEntry&)>& isMine, TimePoint now);

private:
    struct Seen {
        int64_t version = 0;
        TimePoint since;
    };
    struct Proof {
        LapseProof proof;
        int64_t claimVersion = 0;
        TimePoint nextAsk;
    };

    bool isSuspected(const KnownNode& node, const FleetView& view, TimePoint now);
    bool isSilentInStore(const KnownNode& node, TimePoint now) const;
    bool isClaimStale(const KnownNode& node, const FleetView& view, TimePoint now) const;
    void noteSeen(const std::string& objectName, const KnownNode& node, TimePoint now);
    void claim(const std::string& objectName, const KnownNode& node, TakeoverActions& actions);
    void pursue(const std::string& objectName, const KnownNode& node, const FleetView& view, TimePoint now,
        TakeoverActions& actions);

    InstanceId self_;
    LeaseTiming timing_;
    std::map<InstanceId, std::map<InstanceId, TimePoint>> suspicions_; // By holder and witness.
    std::map<std::string, Seen> seen_;
    std::map<std::string, Proof> proofs_;
    std::set<std::string> writing_;
};

// Orders the instances by their fitness to coordinate a service; the first living one does.
uint64_t coordinatorRank(const std::string& service, const std::string& instanceName);

}
