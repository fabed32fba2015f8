#pragma once

#include <string>
#include <vector>

namespace persimmonfield {

// How busy a member's backend server is: its running, waiting and refused requests relative to its slots.
struct MemberLoad {
    std::string instance;
    double busyness = 0;
    double capacity = 1; // How much work it completes at the same busyness, relative to the busy server.
};

// The part of a busy backend server's load that is to move to another member.
struct LoadPortion {
    std::string target;
    double share = 0; // Fraction of the busy server's load.
};

// Divides the load of a busy backend server among itself and the fewest other members that can take it. The
// least busy members are used first. A pure function.
std::vector<LoadPortion> spreadLoad(double own, std::vector<MemberLoad> others);

}
