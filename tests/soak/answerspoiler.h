#pragma once

#include "base/time.h"

#include <cstdint>
#include <random>
#include <string>

namespace persimmonfield::soak {

// Makes servers faulty from time to time: an answer's head ends in its middle, or an earlier refusal comes
// once more, before or behind an answer.
class AnswerSpoiler {
public:
    explicit AnswerSpoiler(uint64_t seed)
        : random_(seed)
    {
    }

    // Changes what a server sent. False when its connection is to end behind it.
    bool spoil(std::string& bytes);

    int64_t count() const { return count_; }

private:
    std::mt19937_64 random_;
    TimePoint next_;
    std::string lastId_; // Of the last answer of any server.
    int64_t count_ = 0;
};

}
