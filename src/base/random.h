#pragma once

#include <cstdint>
#include <functional>

namespace persimmonfield {

// Returns a generator of uniformly distributed numbers, seeded by the system. It is neither cryptographically
// secure nor thread-safe.
std::function<uint64_t()> randomSource();

}
