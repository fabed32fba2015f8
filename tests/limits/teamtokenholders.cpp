#include "limits/teamtokenholders.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

std::vector<std::string> instancesNamed(int count)
{
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i)
        names.push_back("instance-" + std::to_string(i));
    return names;
}

}

TEST_GROUP(TeamTokenHolders) {};

TEST(TeamTokenHolders, InASmallFleetAllInstancesAreHolders)
{
    LONGS_EQUAL(3, teamTokenHolders("team", instancesNamed(3), 8).size());
    CHECK(teamTokenHolders("team", {}, 8).empty());
}

TEST(TeamTokenHolders, TheOrderOfInstancesDoesNotMatter)
{
    auto instances = instancesNamed(40);
    const auto holders = teamTokenHolders("team", instances, 8);
    std::reverse(instances.begin(), instances.end());
    CHECK(holders == teamTokenHolders("team", instances, 8));
}

TEST(TeamTokenHolders, OneInstanceMoreReplacesAtMostOne)
{
    for (int team = 0; team < 50; ++team) {
        const std::string name = "team-" + std::to_string(team);
        auto before = teamTokenHolders(name, instancesNamed(40), 8);
        auto after = teamTokenHolders(name, instancesNamed(41), 8);
        std::sort(before.begin(), before.end());
        std::sort(after.begin(), after.end());
        std::vector<std::string> gone;
        std::set_difference(
            before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(gone));
        CHECK(gone.size() <= 1);
    }
}

TEST(TeamTokenHolders, TeamsAreSpreadOverTheFleet)
{
    std::map<std::string, int> teams;
    for (int team = 0; team < 500; ++team) {
        for (const std::string& holder :
            teamTokenHolders("team-" + std::to_string(team), instancesNamed(50), 8))
            ++teams[holder];
    }
    LONGS_EQUAL(50, teams.size());
    // The average is 80.
    for (const auto& [instance, count] : teams)
        CHECK(count > 40 && count < 130);
}

// Instances join and leave, and rates change; the holders are always those of a full ranking.
TEST(TeamTokenHolders, KeptUpToDateTheyAreThoseOfAFullRanking)
{
    const bool isTrue = rc::check("holders after changes", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        TeamTokenHolders table;
        std::set<std::string> instances;
        std::map<std::string, size_t> teams;
        for (int step = 0; step < 30; ++step) {
            for (uint64_t changes = random() % 4; changes > 0; --changes) {
                const std::string instance = "instance-" + std::to_string(random() % 20);
                if (instances.erase(instance) == 0)
                    instances.insert(instance);
            }
            if (random() % 3 == 0)
                teams["team-" + std::to_string(random() % 5)] = random() % 9;
            if (random() % 9 == 0)
                teams.erase("team-" + std::to_string(random() % 5));
            const std::vector<std::string> sorted(instances.begin(), instances.end());
            table.setTeams(teams);
            table.setInstances(sorted);
            for (const auto& [team, count] : teams)
                RC_ASSERT(table.holders(team) == teamTokenHolders(team, sorted, count));
            RC_ASSERT(table.holders("team-unknown").empty());
        }
    });
    CHECK(isTrue);
}

TEST(TeamTokenHolders, InALargeFleetOnlyTheStrongestInstancesAreCandidates)
{
    std::map<std::string, double> cores;
    for (const std::string& name : instancesNamed(40))
        cores[name] = 0.1;
    LONGS_EQUAL(40, tokenHolderCandidates(cores).size());
    for (int i = 0; i < 11; ++i)
        cores["strong-" + std::to_string(i)] = 0.5;
    LONGS_EQUAL(51, tokenHolderCandidates(cores).size());
    cores["strong-11"] = 0.5;
    const auto candidates = tokenHolderCandidates(cores);
    LONGS_EQUAL(12, candidates.size());
    CHECK(std::is_sorted(candidates.begin(), candidates.end()));
    CHECK(std::all_of(candidates.begin(), candidates.end(),
        [](const std::string& name) { return name.find("strong") == 0; }));
    CHECK(tokenHolderCandidates({}).empty());
}
