#pragma once

#include "membership/instance.h"
#include "membership/leasetiming.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace persimmonfield {

using WitnessSet = std::vector<InstanceId>;

// The holder's side of a lease. A majority of the witnesses confirms each renewal. If the witness set is
// empty, the platform's store confirms the lease by conditional writes to the holder's entry. While the
// outcome of a witness set change is unknown, both the old and the new set must confirm. A lapsed lease
// cannot be renewed. Does no I/O and reads no clock; not thread-safe.
class LeaseHolder {
public:
    explicit LeaseHolder(const LeaseTiming& timing);

    // The time until which this holder may act; a time in the past if it may not.
    TimePoint leaseEnd() const;

    // Returns whether the lease has lapsed, and makes a lapse permanent. Call it before any use of the lease.
    bool hasLapsed(TimePoint now);

    // Starts one round of renewals. Returns its sequence number, or nullopt after a lapse.
    std::optional<int64_t> beginRenewal(TimePoint now);

    // The witness confirmed the renewal with this sequence number.
    void onRenewalAck(const InstanceId& witness, int64_t sequence, TimePoint now);

    // The store confirmed a conditional write that was sent at `sentAt`.
    void onStoreConfirmation(TimePoint sentAt, TimePoint now);

    // The witnesses to send renewals to: the current set and the proposed one.
    WitnessSet witnesses() const;
    bool isConfirmedByStore() const { return current_.isStore(); }
    const WitnessSet& currentSet() const { return current_.witnesses; }

    // Proposes a new witness set and sends it renewals too. The change may be written to the store only once
    // `isProposalConfirmed` returns true.
    void propose(WitnessSet witnesses);
    WitnessSet proposedSet() const { return proposal_ ? proposal_->witnesses : WitnessSet(); }
    bool hasProposal() const { return proposal_.has_value(); }
    bool isProposalConfirmed(TimePoint now) const;

    // The change is about to be written and may take effect: the lease now needs both sets.
    void beginWitnessChange();
    // The write took effect: only the new set counts.
    void adoptProposal();
    // The write is known not to have taken effect: only the old set counts.
    void withdrawProposal();

private:
    struct Confirmations {
        WitnessSet witnesses;
        std::map<InstanceId, TimePoint> newest; // Send time of the newest renewal each witness confirmed.
        std::optional<TimePoint> newestByStore;

        bool isStore() const { return witnesses.empty(); }
        // The latest send time for which a majority has confirmed that renewal or a newer one.
        std::optional<TimePoint> confirmedFrom() const;
    };

    TimePoint endOf(const Confirmations& confirmations) const;
    static void confirm(Confirmations& confirmations, const InstanceId& witness, TimePoint sentAt);

    LeaseTiming timing_;
    Confirmations current_;
    std::optional<Confirmations> proposal_;
    bool isChanging_ = false;
    bool wasHeld_ = false;
    bool isLapsed_ = false;
    int64_t sequence_ = 0;
    std::map<int64_t, TimePoint> sentAt_;
};

}
