#pragma once

#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// Which instance of its availability zone an instance follows, that is, receives the changes of the store
// from. The zone's instances have one order in which the first few watch the store and all others follow one
// of these, so nobody follows an instance behind it and no circle can form.
class FeedChoice {
public:
    explicit FeedChoice(std::string self);

    struct Candidate {
        std::string name;
        double cores = 0; // 0 if unknown.
    };

    // Sets the instances of the zone that may be followed; `self` is added if it is missing. Those with more
    // cores come first in the order.
    void setInstances(std::vector<Candidate> instances);

    // The instance to follow, without those in `avoided`; empty if `self` has to watch the store.
    std::string choose(const std::set<std::string>& avoided) const;

private:
    std::string self_;
    std::vector<std::string> order_; // The first ones watch the store.
};

}
