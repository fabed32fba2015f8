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
    int64_t revision = 0; // The store's revision at its last change.
    nlohmann::json value;
    bool isDeleted = false;
};

// Objects of one kind, and the store's revision up to which they are complete.
struct StorePage {
    std::vector<StoreObject> objects;
    bool hasMore = false;
    int64_t revision = 0;
};

// A write that takes effect only if the object's revision is the expected one; 0 creates the object.
struct StoreWrite {
    std::string kind;
    std::string name;
    nlohmann::json value;
    int64_t expectedRevision = 0;
};

// How the store's calls are written and its answers read. The store's protocol is HTTP; the meaning of its
// status codes is the usual one: 404, 409 for a conditional write that did not apply, 410 for history that is
// gone, 429 and 503 for a call that was refused.
struct StoreDialect {
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
