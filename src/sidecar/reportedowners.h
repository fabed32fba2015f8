#pragma once

#include "messages/reply.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// Owners of keys that gates have reported and that the key table known here does not hold yet. Does no I/O.
class ReportedOwners {
public:
    // Returns the revision of the key table known here that covers the key.
    using KnownRevision = std::function<int64_t(const std::string& service, int64_t key)>;

    explicit ReportedOwners(KnownRevision knownRevision);

    // The reported owner of the key, or null if none is newer than the known key table.
    const peer::KeyOwner* find(const std::string& service, int64_t key);

    // Returns false if the owner is not newer than the known one.
    bool add(const std::string& service, int64_t key, const peer::KeyOwner& owner);

private:
    KnownRevision knownRevision_;
    std::map<std::string, std::vector<peer::KeyOwner>> owners_; // By service.
};

}
