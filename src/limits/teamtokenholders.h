#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace persimmonfield {

// The instances that keep a team's tokens; all others borrow from them. All who know of the same instances
// find the same ones, and one instance more or less changes at most one of them. Pure.
std::vector<std::string> teamKeepers(
    const std::string& team, const std::vector<std::string>& instances, size_t most);

}
