#pragma once

#include "base/time.h"

#include <cstdint>

namespace persimmonfield {

// What an instance asks of a team's home.
struct ShareDemand {
    int64_t sequence = 0;
    int64_t wanted = 0;
    int64_t spent = 0; // Since the demand before.
    int64_t returned = 0;
};

// What the home answers to an instance.
struct ShareAnswer {
    int64_t tokens = 0;
    Milliseconds lifetime { 0 }; // The instance must not spend the tokens after it, from its own asking on.
    Milliseconds retryAfter { 0 }; // When tokens may be there again; 0 when some were given.
};

}
