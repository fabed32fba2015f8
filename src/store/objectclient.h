#pragma once

#include "base/time.h"
#include "http/httpclient.h"
#include "messages/generated/peer.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonfield {

// The outcome of a conditional write.
enum class WriteOutcome {
    Applied, // The write took effect.
    Conflict, // No effect: the object's version differs from the expected one.
    Refused, // No effect: the platform could not be reached or refused the write.
    Unknown, // The write may have taken effect or may still take effect.
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Refused;
    int64_t version = 0; // The object's new version if the write was applied.
    std::string detail;
};

// Objects, and the store revision up to which the listing is complete.
struct ObjectListing {
    int64_t revision = 0;
    std::vector<peer::StoredObject> objects;
};

// Blocking client of the platform's object API. All access to the store through this API goes through this
// class. It holds no state except the address and the timeout, so each thread can have its own client.
class ObjectClient {
public:
    // `url` is http://HOST:PORT. `timeout` limits each call; a watch may take its `wait` in addition.
    ObjectClient(std::string url, Milliseconds timeout);

    // Returns NotFound if the object does not exist and Unavailable if the platform cannot be reached.
    absl::StatusOr<peer::StoredObject> read(const std::string& name) const;

    absl::StatusOr<ObjectListing> list(const std::string& prefix) const;

    // Returns all objects that changed after `afterRevision`, including deleted ones. Waits up to `wait` for
    // the first change.
    absl::StatusOr<ObjectListing> watch(int64_t afterRevision, Milliseconds wait) const;

    // Writes only if the object has the expected version. 0 means that the object must not exist yet.
    WriteResult write(const std::string& name, const std::string& value, int64_t expectedVersion) const;

    WriteResult remove(const std::string& name, int64_t expectedVersion) const;

private:
    CallResult call(HttpRequest request, Milliseconds timeout) const;
    absl::StatusOr<ObjectListing> fetchListing(const std::string& target, Milliseconds timeout) const;

    std::string url_;
    Milliseconds timeout_;
};

}
