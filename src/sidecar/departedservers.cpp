#include "sidecar/departedservers.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // The oldest ones beyond this number are dropped.
    constexpr size_t maxDepartedServers = 16;

}

bool hasDeparted(const DepartedServers& departed, const ServerIncarnation& incarnation)
{
    return std::any_of(departed.begin(), departed.end(), [&incarnation](const stored::DepartedServer& each) {
        return each.id == incarnation.id && incarnation.startedMs <= each.startedMs;
    });
}

bool addDeparted(DepartedServers& departed, const ServerIncarnation& incarnation)
{
    if (hasDeparted(departed, incarnation))
        return false;
    departed.erase(
        std::remove_if(departed.begin(), departed.end(),
            [&incarnation](const stored::DepartedServer& each) { return each.id == incarnation.id; }),
        departed.end());
    departed.push_back({ incarnation.id, incarnation.startedMs });
    if (departed.size() > maxDepartedServers)
        departed.erase(departed.begin());
    return true;
}

}
