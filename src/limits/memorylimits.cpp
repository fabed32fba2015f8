#include "limits/memorylimits.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr double bytesPerMb = 1'000'000;
    // Used by the process itself: the program, what it knows of the fleet, its log.
    constexpr double processMb = 24;
    // The part of the rest for requests and answers. What remains is for what is not counted: buffers of the
    // links and connections, and memory that is free but still in use by the allocator.
    constexpr double heldShare = 0.65;
    constexpr double smallestHeldMb = 4;
    constexpr size_t answerDivisor = 8;
    constexpr size_t linkDivisor = 8;
    constexpr size_t requestDivisor = 16;
    constexpr size_t largestAnswerBytes = 16UL * 1024 * 1024;
    constexpr size_t smallestPartBytes = 2UL * 1024 * 1024;
    constexpr int callerDivisor = 2;
    constexpr int otherDivisor = 32;
    constexpr int fewestConnections = 8;

}

MemoryLimits memoryLimitsFor(double memoryMb, int descriptors)
{
    const double heldMb = std::max(smallestHeldMb, (memoryMb - processMb) * heldShare);
    MemoryLimits limits;
    limits.bytes.limit = static_cast<size_t>(heldMb * bytesPerMb);
    limits.bytes.requestLimit = limits.bytes.limit - limits.bytes.limit / requestDivisor;
    limits.answerBytes
        = std::clamp(limits.bytes.limit / answerDivisor, smallestPartBytes, largestAnswerBytes);
    limits.linkBytes = std::max(limits.bytes.limit / linkDivisor, smallestPartBytes);
    limits.callerConnections = static_cast<size_t>(std::max(descriptors / callerDivisor, fewestConnections));
    limits.otherConnections = static_cast<size_t>(std::max(descriptors / otherDivisor, fewestConnections));
    return limits;
}

}
