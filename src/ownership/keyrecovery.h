#pragma once

#include "base/time.h"
#include "ownership/keytable.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// A key table as an instance knows it. The parts that are not stored in the present era of the store are
// those of an earlier era.
struct KnownKeyTable {
    const stored::KeyTable& table;
    std::function<bool(const stored::KeyRange& range)> isStored;
};

// What an instance may do with key ranges after the store was restored from an older copy, so that neither
// the ranges granted since that copy get a second owner nor their fences are given out again. The ranges that
// the instance owned before the restore are remembered and go before what the copy says. Ranges that are
// carried over from an earlier era are valid only for an owner that remembers them, until all leases of that
// era have ended. Does no I/O and reads no clock.
class KeyRecovery {
public:
    // `settlingTime` is the time after which all leases of an earlier era have ended.
    KeyRecovery(std::string instance, Duration settlingTime);

    // A new era has begun, or this instance has begun in an era after the first. `own` are the ranges that it
    // owns under the lease that ends at `ownUntil`.
    void begin(std::vector<stored::KeyRange> own, TimePoint ownUntil, TimePoint now);

    // The lease was lost, so others may own what is remembered.
    void forget() { remembered_.clear(); }

    // Whether all leases of earlier eras have ended.
    bool isSettled(TimePoint now) const { return now >= settledAt_; }

    // Whether the instance, which the table names as the owner, is so without doubt.
    bool isValid(const KnownKeyTable& known, const stored::KeyRange& range) const;

    // The table with the ranges that the instance may grant.
    stored::KeyTable grantable(const KnownKeyTable& known, TimePoint now) const;

    // When the grants of ranges end that the table does not show yet; the maximum if there are none.
    TimePoint grantLimit(const KnownKeyTable& known, TimePoint now) const;

    // The table with the remembered ranges that its stored parts show otherwise; nullopt if there are none.
    std::optional<stored::KeyTable> claimed(const KnownKeyTable& known, TimePoint now) const;

private:
    bool remembers(const stored::KeyRange& range) const;
    std::vector<stored::KeyRange> unconfirmed(const KnownKeyTable& known, TimePoint now) const;

    std::string instance_;
    Duration settlingTime_;
    std::vector<stored::KeyRange> remembered_;
    TimePoint rememberedUntil_;
    TimePoint settledAt_;
};

}
