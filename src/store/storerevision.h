#pragma once

#include <cstdint>

namespace persimmonfield {

// A store that comes back from an older copy gives revisions out again. The number of its restores, its era,
// therefore precedes the revision: all revisions in this program are ordered by their era first. In era 0
// they are the store's own numbers.
inline constexpr int eraShift = 44;
inline constexpr int64_t maxEra = (int64_t { 1 } << (63 - eraShift)) - 1;
inline constexpr int64_t maxStoreNumber = (int64_t { 1 } << eraShift) - 1;

// The revision for a number that the store gave out in an era. Both must be within the limits above.
inline int64_t revisionIn(int64_t era, int64_t number)
{
    return (era << eraShift) | number;
}

inline int64_t eraOf(int64_t revision)
{
    return revision >> eraShift;
}

// The number by which the store knows the revision.
inline int64_t storeNumberOf(int64_t revision)
{
    return revision & maxStoreNumber;
}

}
