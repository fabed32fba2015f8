#pragma once

#include <cstdint>
#include <functional>

namespace persimmonfield {

// A source of evenly spread numbers, seeded by the system; not for secrets, and for one thread at a time.
std::function<uint64_t()> randomSource();

}
