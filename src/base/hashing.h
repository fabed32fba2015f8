#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonfield {

// Returns the SHA-256 hash of the text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

// Compares in a time that depends only on the lengths.
bool equalsInConstantTime(std::string_view left, std::string_view right);

// A fast, non-cryptographic hash for key placement. It is the same in every process.
uint64_t stableHash(std::string_view text);

// Returns `bytes` bytes from the cryptographic random generator in lower-case hexadecimal.
std::string randomHex(size_t bytes);

}
