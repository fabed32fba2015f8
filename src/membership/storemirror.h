#pragma once

#include "messages/generated/peer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// A daemon's local copy of the store's objects. The version of each object and the revision of the copy never
// go back, whether a change comes from the store or from another daemon. Does no I/O; not thread-safe.
class StoreMirror {
public:
    // The revision of the store up to which this copy is complete.
    int64_t revision() const { return revision_; }

    // Stores the object unless this version or a newer one is known. Returns whether the copy changed.
    bool update(const peer::StoredObject& object);

    // Applies all changes after revision `after` up to `revision`. Returns whether the copy changed.
    bool apply(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects);

    // What changed after `revision`, oldest first, in about `maxBytes`. The delta is complete up to its
    // revision.
    peer::Delta deltaAfter(int64_t revision, size_t maxBytes) const;

    // The object, or null when it is not known or deleted.
    const peer::StoredObject* find(const std::string& name) const;

    // The names that begin with the prefix, in order, without deleted objects.
    std::vector<std::string> names(const std::string& prefix) const;

    size_t size() const { return objects_.size(); }

private:
    int64_t revision_ = 0;
    std::map<std::string, peer::StoredObject> objects_;
};

}
