#pragma once

#include "base/time.h"

#include <cstdint>

namespace persimmonfield {

// An instance's request for tokens to a team's home.
struct TokenRequest {
    int64_t sequence = 0;
    int64_t wanted = 0;
    int64_t spent = 0; // Since the previous request.
    int64_t returned = 0;
};

// The home's answer to a token request.
struct TokenGrant {
    int64_t tokens = 0;
    Milliseconds lifetime { 0 }; // How long the tokens may be spent, from when the instance sent its request.
    Milliseconds retryAfter { 0 }; // When tokens may be available again; 0 if some were granted.
};

}
