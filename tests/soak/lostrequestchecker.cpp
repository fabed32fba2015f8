#include "soak/lostrequestchecker.h"

#include <fmt/format.h>

#include <utility>

namespace persimmonfield::soak {
namespace {

    constexpr const char* idHeader = "Persimmonfield-Request-Id";
    // A caller may send a request up to this long before it notices that the connection was closed.
    constexpr Milliseconds closeRaceTime { 200 };
    constexpr Milliseconds requestDeadline { 4'000 };
    // A request sent early in the stop may be lost if the server still works on it this long after SIGTERM.
    constexpr Milliseconds gracePeriodEnd { 5'000 };
    constexpr Milliseconds earlyStopTime { 3'000 };
    // A request that is still being delivered when its connection closes starts to run within this time.
    constexpr Milliseconds classificationDelay { 1'000 };

    int64_t milliseconds(Duration time)
    {
        return std::chrono::duration_cast<Milliseconds>(time).count();
    }

}

void LostRequestChecker::add(const KeepAliveCaller::InFlightRequest& inFlight, Context context)
{
    pending_.push_back({ inFlight, std::move(context), BootClock::now() });
}

void LostRequestChecker::classify(bool isAll)
{
    const TimePoint now = BootClock::now();
    for (const LostRequest& lost : std::exchange(pending_, {})) {
        if (isAll || now - lost.lostAt > classificationDelay)
            classify(lost);
        else
            pending_.push_back(lost);
    }
}

bool LostRequestChecker::wasRunningUntilEndOfGrace(const LostRequest& lost) const
{
    const auto run = workUntil_.find(*lost.inFlight.request.header(idHeader));
    const TimePoint stoppedAt = lost.context.stoppedAt;
    return run != workUntil_.end() && run->second >= stoppedAt + gracePeriodEnd
        && lost.lostAt >= stoppedAt + gracePeriodEnd && lost.inFlight.sentAt <= stoppedAt + earlyStopTime;
}

void LostRequestChecker::classify(const LostRequest& lost)
{
    const Duration took = lost.lostAt - lost.inFlight.sentAt;
    if (!lost.context.isUndisturbed)
        ++duringFaults_;
    else if (took >= requestDeadline || wasRunningUntilEndOfGrace(lost))
        ++late_;
    else if (invariants_.hasRun(*lost.inFlight.request.header(idHeader)))
        reportViolation(lost);
    else if (!lost.inFlight.isFullySent)
        ++whileSending_;
    else if (lost.inFlight.isAfterClose)
        ++afterClose_;
    else if (took - lost.context.schedulingDelay > closeRaceTime)
        reportViolation(lost);
    else
        ++raced_;
}

void LostRequestChecker::reportViolation(const LostRequest& lost)
{
    const std::string& id = *lost.inFlight.request.header(idHeader);
    invariants_.reportViolation(
        fmt::format("{} {} at {} {}, and its connection was closed without a response ({}) {} ms after it "
                    "was sent, which was {} ms after SIGTERM; {} responses were received on it before, the "
                    "test process ran late by {} ms",
            lost.inFlight.request.method, id, lost.context.machine,
            invariants_.hasRun(id) ? "ran" : "did not run", lost.inFlight.cause,
            milliseconds(lost.lostAt - lost.inFlight.sentAt),
            milliseconds(lost.inFlight.sentAt - lost.context.stoppedAt), lost.inFlight.previousResponses,
            milliseconds(lost.context.schedulingDelay)));
}

std::string LostRequestChecker::summary() const
{
    return fmt::format(
        "requests lost with their connection: {} in a race with the close, {} after Connection: close, {} "
        "while sending, {} at their deadline or the end of the grace period, {} during faults",
        raced_, afterClose_, whileSending_, late_, duringFaults_);
}

}
