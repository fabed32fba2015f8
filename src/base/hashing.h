#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonfield {

// Lower-case hexadecimal SHA-256 of the text.
std::string sha256Hex(std::string_view text);

// Compares in a time that depends on the lengths alone.
bool equalsInConstantTime(std::string_view left, std::string_view right);

// A fast hash, the same in every process, for placing keys; not for secrets.
uint64_t stableHash(std::string_view text);

// Lower-case hexadecimal of that many bytes from the system's random source.
std::string randomHex(size_t bytes);

}
