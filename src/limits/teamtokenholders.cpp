#include "limits/teamtokenholders.h"

#include "base/hashing.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

namespace persimmonfield {
namespace {

    // With fewer candidates, the loss of an availability zone would take too many holders.
    constexpr size_t minCandidates = 12;

}

std::vector<std::string> tokenHolderCandidates(const std::map<std::string, double>& cores)
{
    double most = 0;
    for (const auto& [instance, count] : cores)
        most = std::max(most, count);
    std::vector<std::string> all;
    std::vector<std::string> strongest;
    for (const auto& [instance, count] : cores) {
        all.push_back(instance);
        if (count >= most)
            strongest.push_back(instance);
    }
    return strongest.size() >= minCandidates ? strongest : all;
}

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

void TeamTokenHolders::setTeams(const std::map<std::string, size_t>& maxHolders)
{
    for (auto team = teams_.begin(); team != teams_.end();)
        team = maxHolders.count(team->first) > 0 ? std::next(team) : teams_.erase(team);
    for (const auto& [name, count] : maxHolders) {
        Team& team = teams_[name];
        if (team.maxHolders == count)
            continue;
        team.maxHolders = count;
        rankAll(name, team);
    }
}

void TeamTokenHolders::setInstances(std::vector<std::string> instances)
{
    std::vector<std::string> joined;
    std::set_difference(
        instances.begin(), instances.end(), instances_.begin(), instances_.end(), std::back_inserter(joined));
    const bool hasAnyLeft = instances.size() < instances_.size() + joined.size();
    instances_ = std::move(instances);
    for (auto& [name, team] : teams_) {
        const bool hasLostHolder
            = hasAnyLeft && std::any_of(team.ranks.begin(), team.ranks.end(), [this](const Rank& rank) {
                  return !std::binary_search(instances_.begin(), instances_.end(), rank.second);
              });
        if (hasLostHolder) {
            rankAll(name, team);
            continue;
        }
        for (const std::string& instance : joined)
            addRank(team, rankOf(name, instance));
    }
}

std::vector<std::string> TeamTokenHolders::holders(const std::string& team) const
{
    std::vector<std::string> names;
    const auto found = teams_.find(team);
    if (found == teams_.end())
        return names;
    for (const auto& [hash, name] : found->second.ranks)
        names.push_back(name);
    return names;
}

TeamTokenHolders::Rank TeamTokenHolders::rankOf(const std::string& team, const std::string& instance)
{
    return { stableHash(absl::StrCat(team, "/", instance)), instance };
}

void TeamTokenHolders::rankAll(const std::string& name, Team& team) const
{
    team.ranks.clear();
    for (const std::string& instance : instances_)
        addRank(team, rankOf(name, instance));
}

// Adds the instance if it ranks among the holders.
void TeamTokenHolders::addRank(Team& team, Rank rank)
{
    const bool isFull = team.ranks.size() >= team.maxHolders;
    if (team.maxHolders == 0 || (isFull && rank < team.ranks.back()))
        return;
    if (isFull)
        team.ranks.pop_back();
    const auto place = std::upper_bound(team.ranks.begin(), team.ranks.end(), rank, std::greater<>());
    team.ranks.insert(place, std::move(rank));
}

}
