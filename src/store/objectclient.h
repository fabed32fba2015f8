#pragma once

#include "base/time.h"
#include "messages/generated/peer.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonfield {

// What became of a conditional write.
enum class WriteOutcome {
    Applied, // It took effect.
    Conflict, // It did not: the object's version was another one.
    Refused, // It did not: the platform was not reached or said no.
    Unknown, // It may have taken effect, now or later.
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Refused;
    int64_t version = 0; // The new version when applied.
    std::string detail;
};

// Objects and the revision of the store up to which they are complete.
struct ObjectListing {
    int64_t revision = 0;
    std::vector<peer::StoredObject> objects;
};

// Speaks the platform's object API. All that touches the store goes through this class; it keeps no state
// but the address, so any number of threads may each have their own.
class ObjectClient {
public:
    // `url` is http://IP:PORT; `timeout` bounds each call but the waiting part of a watch.
    ObjectClient(std::string url, Milliseconds timeout);

    // NotFound when there is no such object, Unavailable when the platform was not reached.
    absl::StatusOr<peer::StoredObject> read(const std::string& name) const;

    absl::StatusOr<ObjectListing> list(const std::string& prefix) const;

    // All objects changed after that revision, deleted ones too, waiting for a first one at most `wait`.
    absl::StatusOr<ObjectListing> watch(int64_t afterRevision, Milliseconds wait) const;

    // Writes if the object's version is the expected one; 0 expects that it does not exist.
    WriteResult write(const std::string& name, const std::string& value, int64_t expectedVersion) const;

    WriteResult remove(const std::string& name, int64_t expectedVersion) const;

private:
    absl::StatusOr<ObjectListing> fetchListing(const std::string& target, Milliseconds timeout) const;

    std::string url_;
    Milliseconds timeout_;
};

}
