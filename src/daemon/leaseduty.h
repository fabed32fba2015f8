#pragma once

#include "daemon/controlcontext.h"
#include "membership/leaseholder.h"
#include "membership/witness.h"

#include <optional>
#include <string>

namespace persimmonfield {

// This daemon's place in the fleet: its entry in the store, its lease, its witness set, and its work as a
// witness for others. One object lives as long as one incarnation.
class LeaseDuty {
public:
    explicit LeaseDuty(ControlContext& context);

    // Renews, changes the witness set and keeps the entry up to date.
    void step(TimePoint now);

    // Answers a renewal as a witness; nothing when it is not confirmed.
    std::optional<peer::RenewalAck> onRenewal(const peer::Renewal& renewal, TimePoint now);
    void onRenewalAck(const peer::RenewalAck& ack, TimePoint now);
    peer::Promise onPromiseRequest(const peer::PromiseRequest& request, TimePoint now);

    // Holders that have been silent towards this witness.
    std::vector<InstanceId> suspects(TimePoint now) const { return witness_.suspects(now); }

    // The incarnation is over; the daemon joins again under a new one.
    bool isOver() const { return isOver_; }

    // Gives up everything at once and says so in the store.
    void resign();

private:
    struct EntryWrite {
        IdentifiedWrite write;
        stored::NodeEntry entry;
        bool changesWitnesses = false;
    };

    void renew(TimePoint now);
    void watchOwnEntry();
    void considerWitnesses(TimePoint now);
    void considerEntry(TimePoint now);
    stored::NodeEntry wantedEntry() const;
    void submit(const stored::NodeEntry& entry, bool changesWitnesses);
    void resubmit();
    void writeEnded(const WriteResult& result, TimePoint sentAt);
    void publishLease();
    bool holdsYoungHome() const;

    ControlContext& context_;
    LeaseHolder holder_;
    Witness witness_;
    stored::NodeEntry entry_; // As last known to be in the store.
    int64_t entryVersion_ = 0;
    std::optional<EntryWrite> writing_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); // Late answers of the store look at it.
    TimePoint nextRenewal_;
    TimePoint nextWitnessCheck_;
    TimePoint nextStoreRenewal_;
    TimePoint nextWriteTry_;
    TimePoint proposedAt_;
    std::shared_ptr<const FleetView> witnessView_; // By which the witnesses were last chosen.
    bool holdsLease_ = false;
    bool isOver_ = false;
};

}
