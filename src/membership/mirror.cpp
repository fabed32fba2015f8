#include "membership/mirror.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // Objects for operators alone, which no daemon needs.
    constexpr const char* historyPrefix = "config/history/";

    bool hasPrefix(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

}

bool Mirror::note(const peer::StoredObject& object)
{
    if (hasPrefix(object.name, historyPrefix))
        return false;
    const auto known = objects_.find(object.name);
    if (known != objects_.end() && known->second.version >= object.version)
        return false;
    objects_[object.name] = object;
    return true;
}

bool Mirror::apply(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects)
{
    bool isNews = false;
    for (const peer::StoredObject& object : objects)
        isNews = note(object) || isNews;
    if (after <= revision_ && revision > revision_) {
        revision_ = revision;
        isNews = true;
    }
    return isNews;
}

peer::Delta Mirror::deltaAfter(int64_t revision, size_t mostBytes) const
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
        if (bytes > 0 && bytes + object->value.size() > mostBytes) {
            delta.revision = std::min(revision_, delta.objects.back().version);
            break;
        }
        bytes += object->value.size() + object->name.size();
        delta.objects.push_back(*object);
    }
    return delta;
}

const peer::StoredObject* Mirror::find(const std::string& name) const
{
    const auto found = objects_.find(name);
    return found == objects_.end() || found->second.deleted ? nullptr : &found->second;
}

std::vector<std::string> Mirror::names(const std::string& prefix) const
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
