#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonfield {

// Whether a request that carries an idempotency key may run.
enum class RecordDecision {
    Run, // Nothing of this key is known and nothing can have happened before.
    AlreadySeen, // It ran or runs here: the outcome is unknown to this caller.
    MayHaveRunEarlier, // The key is older than the grant: an earlier owner may have run it.
    KeyInvalid, // The key is no UUIDv7.
};

// Remembers the idempotency keys that one gate has let through, so that none runs twice. The time inside a
// UUIDv7 key tells an owner without memory that an earlier one may have seen it. Not thread-safe.
class RequestRecord {
public:
    // Keeps at most `capacity` keys; one that had to be dropped counts as if the grant had begun after it.
    explicit RequestRecord(size_t capacity);

    // Decides about a key sent by a team for a grant that began at `grantBegan`, by the wall clock.
    RecordDecision admit(const std::string& team, const std::string& key, Milliseconds grantBegan);

    // The request certainly did not run: the key may be used again.
    void forget(const std::string& team, const std::string& key);

private:
    std::string entryName(const std::string& team, const std::string& key) const;

    size_t capacity_;
    Milliseconds droppedUntil_ { 0 };
    std::map<std::string, Milliseconds> seen_; // By team and key; the key's own time.
    std::multimap<Milliseconds, std::string> byTime_;
};

// The time inside a UUIDv7; nothing when the text is not one.
std::optional<Milliseconds> uuidTime(std::string_view text);

}
