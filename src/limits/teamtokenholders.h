#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// Chooses the instances that hold a team's tokens, at most `maxCount`; all other instances borrow from them.
// The result depends only on the team and the set of instances. Adding or removing one instance changes at
// most one of the holders.
std::vector<std::string> teamTokenHolders(
    const std::string& team, const std::vector<std::string>& instances, size_t maxCount);

// The instances that may hold tokens, by the cores that each may use (0 if unknown). Each request for
// borrowed tokens costs their holder processor time, so in a large fleet of unequal machines only the
// instances with the most cores hold any; all others then need links to these only. The result is sorted by
// name.
std::vector<std::string> tokenHolderCandidates(const std::map<std::string, double>& cores);

// The token holders of all teams with a rate, kept up to date while instances join and leave. They are always
// those that teamTokenHolders() returns, but a change only costs the hashes of the instances that have
// joined, and a new ranking for the teams that have lost a holder.
class TeamTokenHolders {
public:
    // Sets the teams and the maximum number of holders of each.
    void setTeams(const std::map<std::string, size_t>& maxHolders);

    // Sets the instances, which are sorted by name.
    void setInstances(std::vector<std::string> instances);

    // The team's holders, the one with the highest rank first; none for an unknown team.
    std::vector<std::string> holders(const std::string& team) const;

    const std::vector<std::string>& instances() const { return instances_; }

private:
    using Rank = std::pair<uint64_t, std::string>; // An instance with the hash of the team and its name.
    struct Team {
        size_t maxHolders = 0;
        std::vector<Rank> ranks; // Of the holders, the highest first.
    };

    static Rank rankOf(const std::string& team, const std::string& instance);
    void rankAll(const std::string& name, Team& team) const;
    static void addRank(Team& team, Rank rank);

    std::vector<std::string> instances_;
    std::map<std::string, Team> teams_;
};

}
