#include "sidecar/serverconcurrency.h"

#include "base/logger.h"

#include <cmath>

namespace persimmonfield {
namespace {

    constexpr double wholePercent = 100;
    constexpr int firstServerError = 500;

    int64_t toPercent(double value)
    {
        return std::llround(value * wholePercent);
    }

}

ServerConcurrency::ServerConcurrency(Counters& counters)
    : counters_(counters)
{
}

void ServerConcurrency::setEnabled(bool isEnabled, TimePoint now)
{
    if (isEnabled_ == isEnabled)
        return;
    isEnabled_ = isEnabled;
    startAgain(now);
}

void ServerConcurrency::setServer(const std::string& id, int64_t startedMs, int slots, TimePoint now)
{
    if (serverId_ == id && serverStartedMs_ == startedMs && slots_ == slots)
        return;
    serverId_ = id;
    serverStartedMs_ = startedMs;
    slots_ = slots;
    startAgain(now);
}

void ServerConcurrency::startAgain(TimePoint now)
{
    learned_.reset();
    learnedSince_ = now;
    if (!isEnabled_ || slots_ < 1)
        return;
    learned_.emplace(slots_, slots_);
    counters_.counter("server_concurrency") = slots_;
}

ConcurrencyLimit::Call ServerConcurrency::begin(TimePoint now)
{
    ConcurrencyLimit::Call call;
    call.startedAt = now;
    return learned_ ? learned_->begin(now) : call;
}

bool ServerConcurrency::isCurrent(const ConcurrencyLimit::Call& call) const
{
    return learned_ && call.startedAt >= learnedSince_;
}

void ServerConcurrency::onReply(const ConcurrencyLimit::Call& call, const ServerCallSample& sample,
    CallOutcome outcome, const Reply& reply, TimePoint now)
{
    if (!isCurrent(call))
        return;
    const int before = learned_->settledLimit();
    const double pace = sample.pacePercent > 0 ? static_cast<double>(sample.pacePercent) / wholePercent : 1;
    if (reply.isAnswer && reply.status < firstServerError)
        learned_->succeed(call, sample.route, pace, now);
    else if (outcome == CallOutcome::Answered && reply.reason == RefusalReason::ServerShedding)
        learned_->shed(call, now);
    else if (outcome == CallOutcome::TimedOut)
        learned_->abandon(call, sample.route, now);
    else
        learned_->release(now);
    recordChange(before, outcome == CallOutcome::TimedOut ? "no-answer" : "shed");
}

void ServerConcurrency::onLeft(const ConcurrencyLimit::Call& call, const std::string& route, TimePoint now)
{
    if (!isCurrent(call))
        return;
    const int before = learned_->settledLimit();
    learned_->abandon(call, route, now);
    recordChange(before, "no-answer");
}

// The limit also grows with each answer after it fell; that is not logged.
void ServerConcurrency::recordChange(int before, const char* cause)
{
    const int limit = learned_->settledLimit();
    counters_.counter("server_concurrency") = limit;
    const auto change = learned_->takeChange();
    if (!change && limit >= before)
        return;
    counters_.counter("server_concurrency_changes_total")++;
    nlohmann::json fields
        = { { "server", serverId_ }, { "before", before }, { "limit", limit }, { "slots", slots_ } };
    fields["cause"] = change ? "throughput" : cause;
    if (change) {
        fields["gainBeforePercent"] = toPercent(change->gainBefore);
        fields["gainAfterPercent"] = toPercent(change->gainAfter);
        fields["slownessPercent"] = toPercent(change->slowness);
    }
    log(LogLevel::Info, "concurrency-changed", fields);
}

Duration ServerConcurrency::usualWork(const std::string& route) const
{
    return learned_ ? learned_->usualWork(route) : Duration::zero();
}

}
