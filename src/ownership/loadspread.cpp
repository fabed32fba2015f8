#include "ownership/loadspread.h"

#include <algorithm>
#include <cstddef>

namespace persimmonfield {
namespace {

    // At this busyness a backend server still responds nearly as fast as an idle one.
    constexpr double targetBusyness = 0.55;
    // Each portion adds a range to the table, and its keys are briefly not served while it moves.
    constexpr size_t maxPortions = 24;
    constexpr double minPortion = 0.05;

}

std::vector<LoadPortion> spreadLoad(double own, std::vector<MemberLoad> others)
{
    std::sort(others.begin(), others.end(),
        [](const MemberLoad& left, const MemberLoad& right) { return left.busyness < right.busyness; });
    double work = own;
    double capacity = 1;
    double level = own;
    size_t taken = 0;
    while (taken < std::min(others.size(), maxPortions) && level > targetBusyness
        && others[taken].busyness < level) {
        work += others[taken].busyness * others[taken].capacity;
        capacity += others[taken].capacity;
        ++taken;
        level = work / capacity;
    }
    std::vector<LoadPortion> portions;
    for (size_t i = 0; i < taken; ++i) {
        const double portion = (level - others[i].busyness) * others[i].capacity;
        if (portion >= minPortion)
            portions.push_back({ others[i].instance, portion / own });
    }
    return portions;
}

}
