#include "limits/teamtokenholders.h"

#include <algorithm>
#include <map>

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
