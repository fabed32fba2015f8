#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// What bytes are held for.
enum class HeldFor {
    Head, // Heads of requests, and requests that wait behind others of their connection.
    Request, // Bodies of requests, from the first byte read until nobody needs them.
    Answer, // Bodies of answers that their callers have not taken yet.
    Count,
};

struct ByteBudgetOptions {
    size_t limit = 0; // Of all bytes that are held.
    size_t requestLimit = 0; // Of the bodies of requests, except small ones.
    // Bodies up to this size are granted room beyond `requestLimit`, so that large ones do not keep them out.
    size_t smallBody = 16'384;
    Milliseconds maxWait { 1'000 }; // A body for which there is no room for this long is refused.
    // A holder that has made no progress for this long makes room for one that waits. After the same time a
    // waiting caller that holds less than another one gets room from it.
    Milliseconds stallTime { 500 };
};

// Divides the memory of a process among the requests and answers that it holds. Answers the load of many
// large or slow callers: decides whose body is read further, whose waits, and who is refused or cut off. Room
// goes first to the caller that holds the least. Holders that have made no progress for longest are the first
// to make room, and a caller that holds much makes room for one that holds little. A single request that fits
// into `requestLimit` gets room whenever no others hold it. Does no I/O and reads no clock.
class ByteBudget {
public:
    using HolderId = int64_t; // Never 0.

    enum class Verdict {
        Granted,
        Wait, // A later decision grants or refuses it.
        TooLarge, // There can never be room.
    };

    struct Decisions {
        std::vector<HolderId> granted;
        std::vector<HolderId> refused; // They have waited too long, or have to make room for others.
        std::vector<HolderId> cut; // Hold too much, and are not asking for room.
    };

    explicit ByteBudget(const ByteBudgetOptions& options);

    HolderId open(const std::string& caller, HeldFor purpose, TimePoint now);

    // Releases everything that the holder has.
    void close(HolderId id);

    // Asks to hold this number of bytes altogether. While the holder waits it holds what it held before.
    Verdict reserve(HolderId id, size_t bytes, TimePoint now);

    // Sets the bytes that the holder has without asking.
    void set(HolderId id, size_t bytes);

    // The holder's caller has sent or taken some of its bytes.
    void recordProgress(HolderId id, TimePoint now);

    // Whether the holder can make room for others: its request is still being read, or its answer is being
    // taken. It can from the beginning.
    void setYielding(HolderId id, bool isYielding);

    // Decides about those that wait and, if too much is held, who is cut off. Whoever is refused or cut holds
    // nothing from then on.
    Decisions decide(TimePoint now);

    // When to call decide() next if nothing changes before; std::nullopt if there will be nothing to decide.
    std::optional<TimePoint> nextDecision(TimePoint now) const;

    bool isFull() const { return total_ > options_.limit; }
    size_t held() const { return total_; }
    size_t held(HeldFor purpose) const { return heldFor_[static_cast<size_t>(purpose)]; }
    size_t waiting() const { return waiting_.size(); }

private:
    struct Holder {
        std::string caller;
        HeldFor purpose = HeldFor::Request;
        size_t bytes = 0;
        bool isYielding = true;
        TimePoint progressAt;
    };

    struct Waiter {
        size_t bytes = 0;
        TimePoint since;
    };

    bool hasRoom(const Holder& holder, size_t bytes) const;
    void change(Holder& holder, size_t bytes);
    size_t heldBy(const std::string& caller) const;
    std::map<HolderId, Waiter>::iterator nextWaiter();
    std::vector<HolderId> yieldingTo(HolderId waiter, TimePoint now) const;
    bool makeRoom(HolderId waiter, TimePoint now, Decisions& decisions);
    std::optional<HolderId> nextToCut() const;
    void refuse(HolderId id, std::vector<HolderId>& list);

    ByteBudgetOptions options_;
    HolderId nextId_ = 1;
    size_t total_ = 0;
    std::array<size_t, static_cast<size_t>(HeldFor::Count)> heldFor_ {};
    std::map<HolderId, Holder> holders_;
    std::map<std::string, size_t> callers_; // Bytes held by each caller that holds some.
    std::map<HolderId, Waiter> waiting_;
};

}
