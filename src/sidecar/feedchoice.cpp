#include "sidecar/feedchoice.h"

#include "base/hashing.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace persimmonfield {
namespace {

    // At most this number of instances follow each one that watches the store, on average.
    constexpr size_t maxFollowers = 24;

}

FeedChoice::FeedChoice(std::string self)
    : self_(std::move(self))
    , order_ { self_ }
{
}

void FeedChoice::setInstances(const std::vector<std::string>& instances)
{
    std::vector<std::pair<uint64_t, std::string>> ranked;
    ranked.reserve(instances.size() + 1);
    for (const std::string& instance : instances) {
        if (instance != self_)
            ranked.emplace_back(stableHash(instance), instance);
    }
    ranked.emplace_back(stableHash(self_), self_);
    std::sort(ranked.begin(), ranked.end());
    order_.clear();
    for (auto& [hash, instance] : ranked)
        order_.push_back(std::move(instance));
}

std::string FeedChoice::choose(const std::set<std::string>& avoided) const
{
    const size_t watchers = (order_.size() + maxFollowers) / (maxFollowers + 1);
    std::vector<std::string> first;
    for (const std::string& instance : order_) {
        if (avoided.count(instance) > 0 && instance != self_)
            continue;
        if (instance == self_)
            return {};
        first.push_back(instance);
        if (first.size() >= watchers)
            break;
    }
    return first.empty() ? std::string() : first[stableHash(self_) % first.size()];
}

}
