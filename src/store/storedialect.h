#pragma once

#include "base/time.h"
#include "http/httpmessage.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace persimmonfield {

// An object of the platform's store.
struct StoreObject {
    std::string kind;
    std::string name;
    int64_t revision = 0; // The store's revision at the last change of the object.
    nlohmann::json value; // Null if it cannot be parsed.
    bool isDeleted = false;
};

// Objects of one kind, and the store revision up to which they are complete.
struct StorePage {
    std::vector<StoreObject> objects;
    bool hasMore = false;
    int64_t revision = 0;
    int unreadable = 0; // Number of objects that are left out because their name or revision cannot be read.
    std::string cause {}; // Why the last one of them cannot be read.
};

// A write that takes effect only if the object has the expected revision; 0 creates the object.
struct StoreWrite {
    std::string kind;
    std::string name;
    nlohmann::json value;
    int64_t expectedRevision = 0;
    bool isStatus = false; // Replaces the status of the object instead of its value.
};

// Functions that build the store's requests and parse its responses. The protocol is HTTP with the usual
// status codes: 404 for a missing object, 409 for a conditional write that was not applied, 410 for history
// that is no longer kept, 429 and 503 for a refused call.
struct StoreDialect {
    // The header of the responses that states how often the store was restored from an older copy. A response
    // without it is one of a store that never was.
    std::string eraHeader;
    std::function<HttpRequest(const std::string& kind, const std::string& after, bool mayBeStale)> list;
    std::function<HttpRequest(
        const std::string& kind, int64_t afterRevision, Milliseconds wait, bool mayBeStale)>
        watch;
    std::function<HttpRequest(const StoreWrite& write)> write;
    std::function<absl::StatusOr<StorePage>(const std::string& kind, const std::string& body)> readPage;
    std::function<absl::StatusOr<StorePage>(const std::string& kind, const std::string& body)> readEvents;
    std::function<absl::StatusOr<StoreObject>(const std::string& kind, const std::string& body)> readObject;
};

}
