#include "http/connectionchoice.h"

#include <tuple>

namespace persimmonfield {

std::optional<size_t> chooseConnectionToClose(
    const std::vector<ConnectionActivity>& connections, Duration stallTime, TimePoint now)
{
    using State = ConnectionActivity::State;
    const auto rank = [](const ConnectionActivity& each) {
        return std::tuple(each.state, each.hasCarriedRequest, each.lastActivity);
    };
    std::optional<size_t> chosen;
    for (size_t i = 0; i < connections.size(); ++i) {
        const ConnectionActivity& each = connections[i];
        const bool isStalled = now - each.lastActivity >= stallTime;
        if (each.state == State::Waiting || (each.state == State::Moving && !isStalled))
            continue;
        if (!chosen || rank(each) < rank(connections[*chosen]))
            chosen = i;
    }
    return chosen;
}

}
