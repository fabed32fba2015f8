#include "ownership/loadspread.h"

#include <algorithm>
#include <cstddef>

namespace persimmonfield {
namespace {

    // A server that is so busy answers nearly as fast as an idle one.
    constexpr double comfortable = 0.55;
    // Each portion is a range more in the table, and for a moment its keys are served by nobody.
    constexpr size_t mostPortions = 8;
    constexpr double leastPortion = 0.05;

}

std::vector<LoadPortion> spreadLoad(double own, std::vector<MemberLoad> others)
{
    std::sort(others.begin(), others.end(),
        [](const MemberLoad& left, const MemberLoad& right) { return left.busyness < right.busyness; });
    double sum = own;
    double level = own;
    size_t taken = 0;
    while (taken < std::min(others.size(), mostPortions) && level > comfortable
        && others[taken].busyness < level) {
        sum += others[taken].busyness;
        ++taken;
        level = sum / static_cast<double>(taken + 1);
    }
    std::vector<LoadPortion> portions;
    for (size_t i = 0; i < taken; ++i) {
        const double portion = level - others[i].busyness;
        if (portion >= leastPortion)
            portions.push_back({ others[i].instance, portion / own });
    }
    return portions;
}

}
