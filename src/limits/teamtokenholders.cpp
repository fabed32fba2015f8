#include "limits/teamkeepers.h"

#include "base/hashing.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace persimmonfield {

// Rendezvous hashing: those whose hash together with the team is highest.
std::vector<std::string> teamKeepers(
    const std::string& team, const std::vector<std::string>& instances, size_t most)
{
    std::vector<std::pair<uint64_t, std::string>> ranked;
    ranked.reserve(instances.size());
    for (const std::string& instance : instances)
        ranked.emplace_back(stableHash(absl::StrCat(team, "/", instance)), instance);
    const size_t count = std::min(most, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](const auto& left, const auto& right) { return left > right; });
    std::vector<std::string> keepers;
    for (size_t i = 0; i < count; ++i)
        keepers.push_back(std::move(ranked[i].second));
    return keepers;
}

}
