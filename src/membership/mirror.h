#pragma once

#include "messages/generated/peer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// A daemon's copy of the store's objects. Each object only moves forward in version, and the copy as a whole
// in revision, whether news comes from the store or from another daemon. Pure; not thread-safe.
class Mirror {
public:
    // Everything up to this revision of the store is known.
    int64_t revision() const { return revision_; }

    // Takes one object in, unless a newer one is known. Answers whether it was news.
    bool note(const peer::StoredObject& object);

    // Takes in all that changed after `after` up to `revision`. Answers whether anything was news.
    bool apply(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects);

    // What changed after that revision, oldest first, in about `mostBytes`; complete up to the answered
    // revision.
    peer::Delta deltaAfter(int64_t revision, size_t mostBytes) const;

    // The object, or nothing when it is not known or deleted.
    const peer::StoredObject* find(const std::string& name) const;

    // The names that begin with the prefix, in order, deleted objects left out.
    std::vector<std::string> names(const std::string& prefix) const;

    size_t size() const { return objects_.size(); }

private:
    int64_t revision_ = 0;
    std::map<std::string, peer::StoredObject> objects_;
};

}
