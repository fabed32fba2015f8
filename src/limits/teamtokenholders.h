#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace persimmonfield {

// Chooses the instances that hold a team's tokens, at most `maxCount`; all other instances borrow from them.
// The result depends only on the team and the set of instances. Adding or removing one instance changes at
// most one of the holders.
std::vector<std::string> teamTokenHolders(
    const std::string& team, const std::vector<std::string>& instances, size_t maxCount);

}
