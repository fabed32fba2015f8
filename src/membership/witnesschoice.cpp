#include "membership/witnesschoice.h"

#include "base/hashing.h"

#include <algorithm>
#include <map>

namespace persimmonfield {
namespace {

    bool contains(const WitnessSet& set, const InstanceId& id)
    {
        return std::find(set.begin(), set.end(), id) != set.end();
    }

    // Present witnesses first, then in an order that spreads the work of witnessing evenly.
    std::vector<WitnessCandidate> inOrderOfPreference(
        const InstanceId& self, std::vector<WitnessCandidate> candidates, const WitnessSet& present)
    {
        const auto rank = [&self](const WitnessCandidate& candidate) {
            return stableHash(self.name + "\n" + candidate.id.name);
        };
        std::sort(candidates.begin(), candidates.end(),
            [&](const WitnessCandidate& left, const WitnessCandidate& right) {
                const bool leftIsPresent = contains(present, left.id);
                const bool rightIsPresent = contains(present, right.id);
                if (leftIsPresent != rightIsPresent)
                    return leftIsPresent;
                return rank(left) < rank(right);
            });
        return candidates;
    }

}

WitnessSet chooseWitnesses(
    const InstanceId& self, const std::vector<WitnessCandidate>& candidates, const WitnessSet& present)
{
    std::vector<WitnessCandidate> others;
    for (const WitnessCandidate& candidate : candidates) {
        if (candidate.id.name != self.name)
            others.push_back(candidate);
    }
    if (others.size() < fewestWitnesses)
        return {};
    const size_t available = others.size() % 2 == 1 ? others.size() : others.size() - 1;
    const size_t wanted = std::min(mostWitnesses, available);
    const size_t mostPerZone = (wanted - 1) / 2;
    WitnessSet chosen;
    std::vector<WitnessCandidate> passedOver;
    std::map<std::string, size_t> perZone;
    for (const WitnessCandidate& candidate : inOrderOfPreference(self, others, present)) {
        if (chosen.size() == wanted)
            break;
        if (perZone[candidate.zone] == mostPerZone) {
            passedOver.push_back(candidate);
            continue;
        }
        ++perZone[candidate.zone];
        chosen.push_back(candidate.id);
    }
    for (const WitnessCandidate& candidate : passedOver) {
        if (chosen.size() == wanted)
            break;
        chosen.push_back(candidate.id);
    }
    return chosen;
}

}
