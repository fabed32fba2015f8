#pragma once

#include "base/time.h"

#include <deque>
#include <string>

namespace persimmonfield {

// The requests that the server has refused, for as long as they may be sent to it again.
class RefusedRequests {
public:
    void add(const std::string& requestId, TimePoint deadline);
    bool contains(const std::string& requestId, TimePoint now);
    void clear() { requests_.clear(); }

private:
    struct Request {
        std::string id;
        TimePoint until;
    };

    std::deque<Request> requests_;
};

}
