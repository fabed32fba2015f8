#pragma once

#include "base/time.h"
#include "config/configuration.h"
#include "messages/reply.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonfield {

// This instance's part of each team's rate: the rate and burst by the number of instances, so that the sum
// over the fleet holds also while instances cannot talk to one another. Pure.
class TeamRates {
public:
    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    void setInstances(size_t instances);

    // Charges one request; the refusal says when to come back. A team without a rate is never refused.
    std::optional<Reply> charge(const std::string& team, TimePoint now);

private:
    struct Bucket {
        double level = 0;
        TimePoint filledAt;
    };

    std::shared_ptr<const Configuration> configuration_;
    double instances_ = 1;
    std::map<std::string, Bucket> buckets_; // By team.
};

}
