#include "base/timeline.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    // Remote times further ahead are ignored: such a clock is wrong and would advance the clocks of all
    // processes.
    constexpr std::chrono::minutes maxClockLead { 1 };

}

Timeline::Timeline(std::string instance, size_t capacity)
    : instance_(std::move(instance))
    , capacity_(capacity)
{
}

HybridTime Timeline::advance()
{
    const Milliseconds wall = wallClockNow();
    if (wall > clock_.wall)
        clock_ = { wall, 0 };
    else
        ++clock_.logical;
    return clock_;
}

void Timeline::record(std::string kind, nlohmann::json fields)
{
    log(LogLevel::Info, kind, fields);
    std::lock_guard lock(mutex_);
    if (events_.size() == capacity_)
        events_.pop_front();
    events_.push_back({ advance(), instance_, std::move(kind), std::move(fields) });
}

void Timeline::observe(HybridTime remote)
{
    std::lock_guard lock(mutex_);
    const bool isPlausible = remote.wall < wallClockNow() + maxClockLead;
    if (clock_ < remote && isPlausible)
        clock_ = remote;
}

HybridTime Timeline::now()
{
    std::lock_guard lock(mutex_);
    return advance();
}

std::string Timeline::jsonLines() const
{
    std::string text;
    std::lock_guard lock(mutex_);
    for (const TimelineEvent& event : events_) {
        const nlohmann::json line
            = { { "wallMs", event.time.wall.count() }, { "logical", event.time.logical },
                  { "instance", event.instance }, { "kind", event.kind }, { "fields", event.fields } };
        text += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    return text;
}

}
