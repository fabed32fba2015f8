#pragma once

#include <string>
#include <vector>

namespace persimmonfield {

// How busy a member's server is: requests that run, wait or are refused, by its slots.
struct MemberLoad {
    std::string instance;
    double busyness = 0;
};

// A part of a busy server's load that is to move to another member.
struct LoadPortion {
    std::string target;
    double share = 0; // Of the busy server's load.
};

// Divides the load of a busy server among itself and some of the others, as few as can bear it. The others
// are taken in the order of their busyness. Pure.
std::vector<LoadPortion> spreadLoad(double own, std::vector<MemberLoad> others);

}
