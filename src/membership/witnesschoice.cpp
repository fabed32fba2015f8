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

    // Current witnesses come first. The others follow in hash order, which spreads the load evenly.
    std::vector<WitnessCandidate> inOrderOfPreference(
        const InstanceId& self, std::vector<WitnessCandidate> candidates, const WitnessSet& current)
    {
        const auto rank = [&self](const WitnessCandidate& candidate) {
            return stableHash(self.name + "\n" + candidate.id.name);
        };
        std::sort(candidates.begin(), candidates.end(),
            [&](const WitnessCandidate& left, const WitnessCandidate& right) {
                const bool isLeftCurrent = contains(current, left.id);
                const bool isRightCurrent = contains(current, right.id);
                if (isLeftCurrent != isRightCurrent)
                    return isLeftCurrent;
                return rank(left) < rank(right);
            });
        return candidates;
    }

}

WitnessSet chooseWitnesses(
    const InstanceId& self, const std::vector<WitnessCandidate>& candidates, const WitnessSet& current)
{
    std::vector<WitnessCandidate> others;
    for (const WitnessCandidate& candidate : candidates) {
        if (candidate.id.name != self.name)
            others.push_back(candidate);
    }
    if (others.size() < minWitnesses)
        return {};
    const size_t available = others.size() % 2 == 1 ? others.size() : others.size() - 1;
    const size_t count = std::min(maxWitnesses, available);
    const size_t maxPerZone = (count - 1) / 2;
    WitnessSet chosen;
    std::vector<WitnessCandidate> skipped;
    std::map<std::string, size_t> perZone;
    for (const WitnessCandidate& candidate : inOrderOfPreference(self, others, current)) {
        if (chosen.size() == count)
            break;
        if (perZone[candidate.zone] == maxPerZone) {
            skipped.push_back(candidate);
            continue;
        }
        ++perZone[candidate.zone];
        chosen.push_back(candidate.id);
    }
    for (const WitnessCandidate& candidate : skipped) {
        if (chosen.size() == count)
            break;
        chosen.push_back(candidate.id);
    }
    return chosen;
}

}
