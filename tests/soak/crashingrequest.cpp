#include "soak/crashingrequest.h"

#include <fmt/format.h>

namespace persimmonfield::soak {
namespace {

    // Bounds of the platform.
    constexpr size_t toleratedCrashes = 3;
    constexpr Milliseconds contactTime { 3'000 };
    constexpr int maxLateRuns = 3;

}

std::optional<std::string> CrashingRequest::recordRun(TimePoint now, bool isInTouch)
{
    runs_.push_back(now);
    if (runs_.size() <= toleratedCrashes || !isInTouch)
        return std::nullopt;
    if (now - runs_[toleratedCrashes - 1] <= contactTime || ++lateRuns_ <= maxLateRuns)
        return std::nullopt;
    return fmt::format("{} has crashed {} servers, {} of them more than {} ms after the third", target_,
        runs_.size(), lateRuns_, contactTime.count());
}

}
