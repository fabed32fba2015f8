// Which instances keep a team's tokens.

#include "limits/teamkeepers.h"

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

TEST_GROUP(TeamKeepers) {};

TEST(TeamKeepers, ASmallFleetKeepsThemAltogether)
{
    LONGS_EQUAL(3, teamKeepers("team", instancesNamed(3), 8).size());
    CHECK(teamKeepers("team", {}, 8).empty());
}

TEST(TeamKeepers, AllFindTheSameWhateverTheOrder)
{
    auto instances = instancesNamed(40);
    const auto keepers = teamKeepers("team", instances, 8);
    std::reverse(instances.begin(), instances.end());
    CHECK(keepers == teamKeepers("team", instances, 8));
}

TEST(TeamKeepers, OneInstanceMoreReplacesAtMostOne)
{
    for (int team = 0; team < 50; ++team) {
        const std::string name = "team-" + std::to_string(team);
        auto before = teamKeepers(name, instancesNamed(40), 8);
        auto after = teamKeepers(name, instancesNamed(41), 8);
        std::sort(before.begin(), before.end());
        std::sort(after.begin(), after.end());
        std::vector<std::string> gone;
        std::set_difference(
            before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(gone));
        CHECK(gone.size() <= 1);
    }
}

TEST(TeamKeepers, TeamsAreSpreadOverTheFleet)
{
    std::map<std::string, int> teams;
    for (int team = 0; team < 500; ++team) {
        for (const std::string& keeper : teamKeepers("team-" + std::to_string(team), instancesNamed(50), 8))
            ++teams[keeper];
    }
    LONGS_EQUAL(50, teams.size());
    // 80 on average.
    for (const auto& [instance, count] : teams)
        CHECK(count > 40 && count < 130);
}
