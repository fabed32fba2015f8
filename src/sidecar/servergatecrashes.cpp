// What a ServerGate does when its server may have crashed.

#include "sidecar/servergate.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {

// Whether a server of this incarnation that no longer runs has exited as announced. Its requests are not
// suspected of having crashed it.
bool ServerGate::isExitOf(const ServerIncarnation& incarnation, TimePoint now) const
{
    if (!lastServer_ || lastServer_->incarnation != incarnation)
        return true; // A successor has reported.
    return lastServer_->drainingSince && now >= *lastServer_->drainingSince + options_.settings.drainTime;
}

// The reply is given after the check, so that a retry does not reach another server before the gate there has
// been told of the crash.
void ServerGate::checkForCrash(RunningCall lost, Reply reply)
{
    lostCalls_.push_back({ std::move(lost), std::move(reply) });
    if (lostCalls_.size() == 1)
        crashDetector_.check([this](bool hasCrashed) { onCrashChecked(hasCrashed); });
}

void ServerGate::onCrashChecked(bool hasCrashed)
{
    if (hasCrashed)
        reportCrash(BootClock::now());
    for (LostCall& lost : std::exchange(lostCalls_, {}))
        answer(lost.running.call, std::move(lost.reply));
    startQueuedCalls();
}

// Reports the calls that the server was working on as possible causes of its crash.
void ServerGate::reportCrash(TimePoint now)
{
    std::vector<InterruptedCall> calls;
    const auto addCall = [&calls](const RunningCall& each) {
        calls.push_back({ each.call.request, each.call.body, each.startedAt });
    };
    for (const LostCall& lost : lostCalls_)
        addCall(lost.running);
    for (const auto& [id, running] : running_) {
        const bool isAtServer = lastServer_ && running.incarnation == lastServer_->incarnation;
        if (isAtServer && client_.hasSent(running.httpCall) && running.startedAt > crashedAt_)
            addCall(running);
    }
    crashedAt_ = now;
    nlohmann::json requests = nlohmann::json::array();
    for (const InterruptedCall& call : calls)
        requests.push_back(call.request.requestId);
    options_.counters->counter("server_crashes_total")++;
    log(LogLevel::Warning, "server-crashed",
        { { "server", lastServer_ ? lastServer_->incarnation.id : "" },
            { "requests", std::move(requests) } });
    options_.quarantine->onServerCrash(calls, now);
}

}
