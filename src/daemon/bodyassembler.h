#pragma once

#include <cstdint>
#include <string>

namespace persimmonfield {

// The largest body of a request or an answer, in bytes.
inline constexpr int64_t largestBody = 64 * 1024 * 1024;

enum class AssemblyState {
    Incomplete,
    Complete,
    Broken, // More or fewer bytes than were announced.
};

// Puts a body together again from the frames in which it travelled. Not thread-safe.
class BodyAssembler {
public:
    // `length` bytes were announced.
    explicit BodyAssembler(int64_t length);

    AssemblyState add(const std::string& bytes, bool isLast);

    std::string takeBody() { return std::move(body_); }
    int64_t length() const { return length_; }

private:
    int64_t length_;
    std::string body_;
};

}
