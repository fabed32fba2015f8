#include "limits/teamtokenholders.h"

#include "base/hashing.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace persimmonfield {

// Rendezvous hashing: takes the instances with the highest hash of team and instance name.
std::vector<std::string> teamTokenHolders(
    const std::string& team, const std::vector<std::string>& instances, size_t maxCount)
{
    std::vector<std::pair<uint64_t, std::string>> ranked;
    ranked.reserve(instances.size());
    for (const std::string& instance : instances)
        ranked.emplace_back(stableHash(absl::StrCat(team, "/", instance)), instance);
    const size_t count = std::min(maxCount, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](const auto& left, const auto& right) { return left > right; });
    std::vector<std::string> holders;
    for (size_t i = 0; i < count; ++i)
        holders.push_back(std::move(ranked[i].second));
    return holders;
}

}
