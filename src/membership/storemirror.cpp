#include "membership/storemirror.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // Prefix of objects that only operators read; daemons do not need them.
    constexpr const char* historyPrefix = "config/history/";

    bool hasPrefix(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

}

bool StoreMirror::update(const peer::StoredObject& object)
{
    if (hasPrefix(object.name, historyPrefix))
        return false;
    const auto known = objects_.find(object.name);
    if (known != objects_.end() && known->second.version >= object.version)
        return false;
    objects_[object.name] = object;
    return true;
}

bool StoreMirror::apply(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects)
{
    bool isChanged = false;
    for (const peer::StoredObject& object : objects)
        isChanged = update(object) || isChanged;
    if (after <= revision_ && revision > revision_) {
        revision_ = revision;
        isChanged = true;
    }
    return isChanged;
}

peer::Delta StoreMirror::deltaAfter(int64_t revision, size_t maxBytes) const
{
    std::vector<const peer::StoredObject*> changed;
    for (const auto& [name, object] : objects_) {
        if (object.version > revision)
            changed.push_back(&object);
    }
    std::sort(
        changed.begin(), changed.end(), [](const peer::StoredObject* left, const peer::StoredObject* right) {
            return left->version < right->version;
        });
    peer::Delta delta {};
    delta.after = revision;
    delta.revision = revision_;
    size_t bytes = 0;
    for (const peer::StoredObject* object : changed) {
        if (bytes > 0 && bytes + object->value.size() > maxBytes) {
            delta.revision = std::min(revision_, delta.objects.back().version);
            break;
        }
        bytes += object->value.size() + object->name.size();
        delta.objects.push_back(*object);
    }
    return delta;
}

const peer::StoredObject* StoreMirror::find(const std::string& name) const
{
    const auto found = objects_.find(name);
    return found == objects_.end() || found->second.deleted ? nullptr : &found->second;
}

std::vector<std::string> StoreMirror::names(const std::string& prefix) const
{
    std::vector<std::string> result;
    for (auto entry = objects_.lower_bound(prefix); entry != objects_.end(); ++entry) {
        if (!hasPrefix(entry->first, prefix))
            break;
        if (!entry->second.deleted)
            result.push_back(entry->first);
    }
    return result;
}

}
