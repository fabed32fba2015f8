#pragma once

#include "membership/instance.h"
#include "membership/leasetiming.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace persimmonfield {

using WitnessSet = std::vector<InstanceId>;

// The holder's side of a lease. A majority of the witnesses confirms it; an empty witness set means that the
// platform's store does, by conditional writes to the holder's entry. While a change of the set is not known
// to be settled, both sets must confirm. Once lapsed, a lease never comes back. Pure; not thread-safe.
class LeaseHolder {
public:
    explicit LeaseHolder(const LeaseTiming& timing);

    // The lease until which this holder may act; a time in the past when it may not.
    TimePoint leaseEnd() const;

    // Notices a lapse; call before anything that rests on the lease.
    bool hasLapsed(TimePoint now);

    // Begins one round of renewals and answers its sequence number; nothing after a lapse.
    std::optional<int64_t> beginRenewal(TimePoint now);

    // A witness confirmed the renewal of that sequence.
    void acknowledged(const InstanceId& witness, int64_t sequence, TimePoint now);

    // The store confirmed a conditional write that was sent at that time.
    void storeConfirmed(TimePoint sentAt, TimePoint now);

    // All witnesses to be asked, of both sets.
    WitnessSet witnesses() const;
    bool isConfirmedByStore() const { return current_.isStore(); }
    const WitnessSet& currentSet() const { return current_.witnesses; }

    // Asks a further set from now on. Its change is written only when `isProposalConfirmed`.
    void propose(WitnessSet witnesses);
    WitnessSet proposedSet() const { return proposal_ ? proposal_->witnesses : WitnessSet(); }
    bool hasProposal() const { return proposal_.has_value(); }
    bool isProposalConfirmed(TimePoint now) const;

    // From here on the write may take effect: the lease rests on both sets.
    void beginChange();
    // The write took effect: the new set alone counts.
    void adoptProposal();
    // The write certainly did not take effect: the old set alone counts.
    void withdrawProposal();

private:
    struct Confirmations {
        WitnessSet witnesses;
        std::map<InstanceId, TimePoint> newest; // Send time of the newest renewal that each confirmed.
        std::optional<TimePoint> newestByStore;

        bool isStore() const { return witnesses.empty(); }
        // The latest time from which a majority confirmed.
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
