#include "soak/cuts.h"

#include <fmt/format.h>

#include <utility>

namespace persimmonfield::soak {
namespace {

    constexpr const char* idHeader = "Persimmonfield-Request-Id";
    // A caller may have sent so long before it saw that its connection was closed.
    constexpr Milliseconds crossingTime { 200 };
    constexpr Milliseconds deadline { 4'000 };
    // A server that works on an early request for so long after SIGTERM excuses a cut.
    constexpr Milliseconds endOfGrace { 5'000 };
    constexpr Milliseconds earlyInStop { 3'000 };
    // A request that is still on its way when its connection ends runs by then.
    constexpr Milliseconds judgingTime { 1'000 };

    int64_t milliseconds(Duration time)
    {
        return std::chrono::duration_cast<Milliseconds>(time).count();
    }

}

void Cuts::add(const KeptCaller::Cut& what, Circumstances circumstances)
{
    waiting_.push_back({ what, std::move(circumstances), BootClock::now() });
}

void Cuts::judge(bool isAll)
{
    const TimePoint now = BootClock::now();
    for (const Cut& cut : std::exchange(waiting_, {})) {
        if (isAll || now - cut.at > judgingTime)
            judge(cut);
        else
            waiting_.push_back(cut);
    }
}

bool Cuts::wasWorkedOnToTheEnd(const Cut& cut) const
{
    const auto run = workUntil_.find(*cut.what.request.header(idHeader));
    const TimePoint stoppedAt = cut.circumstances.stoppedAt;
    return run != workUntil_.end() && run->second >= stoppedAt + endOfGrace
        && cut.at >= stoppedAt + endOfGrace && cut.what.sentAt <= stoppedAt + earlyInStop;
}

void Cuts::judge(const Cut& cut)
{
    const Duration took = cut.at - cut.what.sentAt;
    if (!cut.circumstances.isCalm)
        ++inHarm_;
    else if (took >= deadline || wasWorkedOnToTheEnd(cut))
        ++late_;
    else if (promises_.hasRun(*cut.what.request.header(idHeader)))
        reportBroken(cut);
    else if (!cut.what.isWhole)
        ++whileSending_;
    else if (cut.what.isBehindClose)
        ++behindClose_;
    else if (took - cut.circumstances.ownDelay > crossingTime)
        reportBroken(cut);
    else
        ++crossed_;
}

void Cuts::reportBroken(const Cut& cut)
{
    const std::string& id = *cut.what.request.header(idHeader);
    promises_.broken(fmt::format(
        "{} {} at {} {}, and its connection ended without an answer ({}) {} ms after it "
        "was sent, which was {} ms after SIGTERM; {} answers came before on it, the soak "
        "was late by {} ms",
        cut.what.request.method, id, cut.circumstances.machine, promises_.hasRun(id) ? "ran" : "did not run",
        cut.what.cause, milliseconds(cut.at - cut.what.sentAt),
        milliseconds(cut.what.sentAt - cut.circumstances.stoppedAt), cut.what.answersBefore,
        milliseconds(cut.circumstances.ownDelay)));
}

std::string Cuts::summary() const
{
    return fmt::format(
        "connections that ended without an answer: {} crossed the request, {} behind a close, {} "
        "while sending, {} at the end of the request's time, {} in harm",
        crossed_, behindClose_, whileSending_, late_, inHarm_);
}

}
