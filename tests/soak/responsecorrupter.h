#pragma once

#include "base/time.h"

#include <cstdint>
#include <random>
#include <string>

namespace persimmonfield::soak {

// Simulates faulty servers by corrupting a response from time to time: it truncates the header section, or
// adds a rejection of an earlier request before or after the response.
class ResponseCorrupter {
public:
    explicit ResponseCorrupter(uint64_t seed)
        : random_(seed)
    {
    }

    // May change the bytes that a server sent. Returns false if the connection must be closed after them.
    bool corrupt(std::string& bytes);

    int64_t count() const { return count_; }

private:
    std::mt19937_64 random_;
    TimePoint next_;
    std::string lastId_; // Request id of the last response of any server.
    int64_t count_ = 0;
};

}
