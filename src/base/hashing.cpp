#include "base/hashing.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace persimmonfield {
namespace {

    std::string toHex(const unsigned char* bytes, size_t count)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(count * 2);
        for (size_t i = 0; i < count; ++i) {
            text += digits[bytes[i] >> 4];
            text += digits[bytes[i] & 15];
        }
        return text;
    }

}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::string randomHex(size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1)
        std::abort();
    return toHex(buffer.data(), bytes);
}

}
