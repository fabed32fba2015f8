#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace persimmonfield {

// What one connection of a caller is doing.
struct ConnectionActivity {
    enum class State {
        Idle,
        Moving, // A part of a request has been read, or an answer is being written.
        Waiting, // A request on it waits for its answer.
    };

    State state = State::Idle;
    bool hasCarriedRequest = false;
    TimePoint lastActivity;
};

// The connection that is closed to make room for a new one when the process has as many as it may: of those
// that are idle, one that never carried a request comes first, then the one idle for longest; if none is
// idle, the one whose request or answer has not moved for longest, but at least for `stallTime`. std::nullopt
// if the new connection has to be closed instead. A connection with an unanswered request is never chosen.
std::optional<size_t> chooseConnectionToClose(
    const std::vector<ConnectionActivity>& connections, Duration stallTime, TimePoint now);

}
