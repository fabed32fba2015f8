#pragma once

#include "store/objectclient.h"

#include <functional>
#include <string>

namespace persimmonfield {

// The calls that resolving needs, so that a test can put a fake in their place.
struct StoreCalls {
    std::function<WriteResult(const std::string& name, const std::string& value, int64_t expectedVersion)>
        write;
    std::function<absl::StatusOr<peer::StoredObject>(const std::string& name)> read;
    // Waits before a further attempt; answers false when there is to be none.
    std::function<bool()> waitBeforeRetry;
};

// One conditional write whose value, a JSON object, carries a member operationId of its own.
struct IdentifiedWrite {
    std::string name;
    std::string value;
    int64_t expectedVersion = 0;
    std::string operationId;
    bool mayHaveApplied = false; // An earlier try of this same write ended as Unknown.
};

// The calls of a real client, retried every `pause` for at most `patience`.
StoreCalls storeCalls(const ObjectClient& client, Milliseconds pause, Milliseconds patience);

// Writes and finds out for certain what became of it. A lost answer is resolved by the same conditional
// write again and by reading the operation id back. The outcome is Unknown only when the store could not be
// reached long enough or when somebody overwrote the object meanwhile.
WriteResult writeResolved(const StoreCalls& calls, const IdentifiedWrite& write);

}
