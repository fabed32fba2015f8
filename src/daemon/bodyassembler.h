#pragma once

#include <cstdint>
#include <string>

namespace persimmonfield {

// Maximum size of the body of a request or an answer.
inline constexpr int64_t maxBodyBytes = 64 * 1024 * 1024;

enum class AssemblyState {
    Incomplete,
    Complete,
    Broken, // The body is longer or shorter than announced.
};

// Reassembles a body from the frames it was sent in. Not thread-safe.
class BodyAssembler {
public:
    // `length` is the announced size in bytes.
    explicit BodyAssembler(int64_t length);

    AssemblyState add(const std::string& bytes, bool isLast);

    std::string takeBody() { return std::move(body_); }
    int64_t length() const { return length_; }

private:
    int64_t length_;
    std::string body_;
};

}
