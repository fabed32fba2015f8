#include "sidecar/refusedrequests.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // How long past its deadline a refusal is remembered: the attempts of one request arrive with deadlines
    // that differ by the time that each attempt spent in transit.
    constexpr Milliseconds deadlineMargin { 1'000 };

}

void RefusedRequests::add(const std::string& requestId, TimePoint deadline)
{
    requests_.push_back({ requestId, deadline + deadlineMargin });
}

bool RefusedRequests::contains(const std::string& requestId, TimePoint now)
{
    while (!requests_.empty() && requests_.front().until <= now)
        requests_.pop_front();
    return std::any_of(requests_.begin(), requests_.end(),
        [&requestId](const Request& request) { return request.id == requestId; });
}

}
