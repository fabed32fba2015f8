#pragma once

#include "daemon/controlcontext.h"
#include "membership/leaseholder.h"
#include "membership/witness.h"

#include <optional>
#include <string>

namespace persimmonfield {

// Manages this daemon's membership of the fleet: its entry in the store, its lease and its witness set. Also
// acts as a witness for the leases of other daemons. Each incarnation has its own object.
class LeaseManager {
public:
    explicit LeaseManager(ControlContext& context);

    // Renews the lease, updates the witness set and keeps the entry in the store up to date.
    void step(TimePoint now);

    // Handles a renewal as a witness. Returns nullopt if it is not confirmed.
    std::optional<peer::RenewalAck> onRenewal(const peer::Renewal& renewal, TimePoint now);
    void onRenewalAck(const peer::RenewalAck& ack, TimePoint now);
    peer::Promise onPromiseRequest(const peer::PromiseRequest& request, TimePoint now);

    // Lease holders that this witness has not heard from for too long.
    std::vector<InstanceId> suspects(TimePoint now) const { return witness_.suspects(now); }

    // Whether this incarnation has ended. The daemon then joins again as a new incarnation.
    bool isOver() const { return isOver_; }

    // Ends the incarnation: drops the lease and all grants immediately, and marks the entry in the store as
    // lapsed if that is safe at once.
    void resign();

private:
    struct EntryWrite {
        IdentifiedWrite write;
        stored::NodeEntry entry;
        bool changesWitnesses = false;
    };

    void renew(TimePoint now);
    void checkOwnEntry();
    void updateWitnesses(TimePoint now);
    void updateEntry(TimePoint now);
    stored::NodeEntry desiredEntry() const;
    void submit(const stored::NodeEntry& entry, bool changesWitnesses);
    void resubmit();
    void writeEnded(const WriteResult& result, TimePoint sentAt);
    void publishLease();
    bool holdsRecentTeamHome() const;

    ControlContext& context_;
    LeaseHolder holder_;
    Witness witness_;
    stored::NodeEntry entry_; // The last version known to be in the store.
    int64_t entryVersion_ = 0;
    std::optional<EntryWrite> pendingWrite_;
    // Checked by store callbacks that may outlive this object.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
    TimePoint nextRenewal_;
    TimePoint nextWitnessCheck_;
    TimePoint nextStoreRenewal_;
    TimePoint nextWriteAttempt_;
    TimePoint proposedAt_;
    std::shared_ptr<const FleetView> witnessView_; // The view that the witnesses were last chosen from.
    bool holdsLease_ = false;
    bool isOver_ = false;
};

}
