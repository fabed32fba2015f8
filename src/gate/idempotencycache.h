#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonfield {

// Whether a request that carries an idempotency key may run.
enum class IdempotencyDecision {
    Run, // The key was not seen here, and no earlier owner can have run the request.
    AlreadySeen, // A request with this key ran or is running here; this caller cannot know its outcome.
    MayHaveRunEarlier, // The key is older than the grant, so an earlier owner may have run the request.
    KeyInvalid, // The key is not a UUIDv7.
};

// Remembers the idempotency keys of the requests that a gate has admitted, so that none runs twice. A new
// owner does not have the keys of earlier owners; it uses the timestamp in the UUIDv7 key to detect that an
// earlier owner may have seen the key. Not thread-safe.
class IdempotencyCache {
public:
    // Keeps at most `capacity` keys. When a key is evicted, all keys up to its timestamp are treated as older
    // than the grant.
    explicit IdempotencyCache(size_t capacity);

    // Decides whether a request with this key may run, and remembers the key if so. `grantBegan` is the wall
    // clock time at which the grant of the partition began.
    IdempotencyDecision admit(const std::string& team, const std::string& key, Milliseconds grantBegan);

    // Removes the key of a request that certainly did not run, so that it can be retried.
    void forget(const std::string& team, const std::string& key);

private:
    std::string cacheKey(const std::string& team, const std::string& key) const;

    size_t capacity_;
    Milliseconds evictedUntil_ { 0 };
    std::map<std::string, Milliseconds> seen_; // Timestamps of the keys, by team and key.
    std::multimap<Milliseconds, std::string> byTime_;
};

// Returns the timestamp of a UUIDv7, or nullopt if the text is not a UUIDv7.
std::optional<Milliseconds> uuidV7Timestamp(std::string_view text);

}
