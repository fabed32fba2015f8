#pragma once

#include "store/objectclient.h"

#include <functional>
#include <string>

namespace persimmonfield {

// The store operations that writeResolved() uses. Tests replace them with fakes.
struct StoreCalls {
    std::function<WriteResult(const std::string& name, const std::string& value, int64_t expectedVersion)>
        write;
    std::function<absl::StatusOr<peer::StoredObject>(const std::string& name)> read;
    // Waits before the next attempt. Returns false if there must be no further attempt.
    std::function<bool()> waitBeforeRetry;
};

// A conditional write. Its value is a JSON object with a unique member operationId.
struct IdentifiedWrite {
    std::string name;
    std::string value;
    int64_t expectedVersion = 0;
    std::string operationId;
    bool mayHaveApplied = false; // An earlier attempt at this write ended as Unknown.
};

// Operations of a real client, with retries every `retryInterval` for at most `timeout`.
StoreCalls storeCalls(const ObjectClient& client, Milliseconds retryInterval, Milliseconds timeout);

// Writes and determines the definite outcome. After a lost response it repeats the same conditional write and
// reads the operation id back. The outcome is Unknown only if the store stays unreachable until the retries
// end, or if another writer has overwritten the object in the meantime.
WriteResult writeResolved(const StoreCalls& calls, const IdentifiedWrite& write);

}
