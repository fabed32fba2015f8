#include "sidecar/feedchoice.h"

#include "base/hashing.h"

#include <algorithm>
#include <tuple>
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

void FeedChoice::setInstances(std::vector<Candidate> instances)
{
    const bool isSelfKnown = std::any_of(instances.begin(), instances.end(),
        [this](const Candidate& candidate) { return candidate.name == self_; });
    if (!isSelfKnown)
        instances.push_back({ self_, 0 });
    const auto rank = [](const Candidate& candidate) {
        return std::tuple(-candidate.cores, stableHash(candidate.name), candidate.name);
    };
    std::sort(instances.begin(), instances.end(),
        [&rank](const Candidate& left, const Candidate& right) { return rank(left) < rank(right); });
    order_.clear();
    for (Candidate& candidate : instances)
        order_.push_back(std::move(candidate.name));
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
